package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type recordsCommand struct {
	out    *output
	Sizes  []int `long:"size" default:"1000" default:"10000" default:"100000" description:"number of request records"`
	Answer int   `long:"answer" default:"128" description:"bytes of an answer"`
}

// firstFlow is so large that flow ids are encoded as long as in production, where they are random numbers of 48 bits.
const firstFlow = pimid.FlowID(1) << 47

var (
	recordsHome      = pimonce.HomeID{Node: 1, Incarnation: 1}
	recordsSuccessor = pimonce.HomeID{Node: 2, Incarnation: 1}
)

// Execute runs the measurements and prints each quantity with its fitted line.
func (c *recordsCommand) Execute([]string) error {
	var sizes, bytes, times, handover []float64
	for _, n := range c.Sizes {
		var ns float64
		var home *pimonce.Home
		var err error
		total := liveBytes(func() *pimonce.Home {
			home = newHome(n, c.Answer)
			ns = perOp(n, func(i int) {
				if runErr := c.record(home, i); runErr != nil {
					err = runErr
				}
			})
			return home
		})
		if err != nil {
			return err
		}
		sent, err := handoverBytes(home)
		if err != nil {
			return err
		}
		sizes, bytes = append(sizes, float64(n)), append(bytes, total)
		times, handover = append(times, ns), append(handover, sent)
	}
	return c.out.print([]series{
		newSeries("request records", "B", "records", sizes, bytes),
		newSeries("one recorded request", "ns", "records", sizes, times),
		newSeries("handover of all records", "B", "records", sizes, handover),
	})
}

func newHome(records, answer int) *pimonce.Home {
	cfg := pimonce.DefaultConfig()
	// All requests belong to one contract, which may use at most half of the records.
	cfg.MaxRecords = 2 * records
	// The limit covers each record with its answer and the accounted overhead.
	cfg.MaxBytes = 2 * records * (cfg.AnswerReserve + answer + 1024)
	clock := &pimclock.Manual{}
	return pimonce.NewHome(cfg, recordsHome, clock, pimonce.NewUnixClock(clock.Now(), keyPublished))
}

// record starts, commits and finishes one request at the home, as pimonce.Executor does.
func (c *recordsCommand) record(home *pimonce.Home, i int) error {
	req := pimonce.Request{
		Key: pimonce.Key{Flow: firstFlow + pimid.FlowID(i), Tag: 1}, Home: recordsHome, Service: 1, Contract: 1,
		IssuedAt: uint32(keyPublished.Unix()), Deadline: pimclock.Instant(time.Minute),
	}
	running := home.Start(req, func(pimedge.Reply) {})
	if running == nil {
		return fmt.Errorf("request %d was not accepted by its home", i)
	}
	if err := running.Commit(); err != nil {
		return err
	}
	running.Finish(pimedge.Reply{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: make([]byte, c.Answer)})
	return nil
}

// handoverBytes returns the encoded size of all messages of a handover.
func handoverBytes(home *pimonce.Home) (float64, error) {
	home.Stop()
	batches, err := home.Export(recordsSuccessor)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, b := range batches {
		total += proto.Size(handoverRequest(b))
	}
	return float64(total), nil
}

// handoverRequest builds the message that a VM sends for a batch of answered requests.
func handoverRequest(b pimonce.Batch) *pimpb.HandoverRequest {
	req := &pimpb.HandoverRequest{
		Node: uint32(b.Home.Node), Incarnation: uint64(b.Home.Incarnation), Last: b.Last,
	}
	for _, r := range b.Records {
		req.Records = append(req.Records, &pimpb.RequestRecord{
			Flow: uint64(r.Flow), RequestTag: uint64(r.Tag), Outcome: pimpb.Outcome_OUTCOME_ANSWERED,
			Reason: string(r.Reply.Reason), Status: uint32(r.Reply.Status), Body: r.Reply.Body, KeepNs: int64(r.Keep),
		})
	}
	return req
}
