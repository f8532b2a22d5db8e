package pimonce

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var (
	selfID      = HomeID{Node: 1, Incarnation: 10}
	successorID = HomeID{Node: 2, Incarnation: 20}
	wallStart   = time.Unix(1_000_000, 0)
	answered    = pimedge.Reply{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: []byte("ok")}
)

// newHome returns a home whose wall clock differs from that of the tokens by skew.
func newHome(clock *pimclock.Manual, self HomeID, cfg Config, skew time.Duration) *Home {
	return NewHome(cfg, self, clock, NewUnixClock(clock.Now(), wallStart.Add(time.Duration(clock.Now())+skew)))
}

func request(tag pimid.RequestTag) Request {
	return Request{Key: Key{Flow: 7, Tag: tag}, Home: selfID, IssuedAt: uint32(wallStart.Unix())}
}

// countingExec returns an Exec that commits, counts the run and answers.
func countingExec(runs *atomic.Int32) Exec {
	return func(_ context.Context, s SendTracker) pimedge.Reply {
		if err := s.Commit(); err != nil {
			return notRun(pimedge.ReasonDraining)
		}
		runs.Add(1)
		return answered
	}
}

// TestDuplicatesShareOneRun guards against a second run while the first is in flight, and against duplicates that do not
// get the reply of that run.
func TestDuplicatesShareOneRun(t *testing.T) {
	is := is.New(t)
	h := newHome(&pimclock.Manual{}, selfID, DefaultConfig(), 0)
	var runs atomic.Int32
	var group sync.WaitGroup
	for range 64 {
		group.Go(func() {
			reply := h.Run(t.Context(), request(1), countingExec(&runs))
			if string(reply.Body) != "ok" {
				t.Errorf("a duplicate was answered %+v", reply)
			}
		})
	}
	group.Wait()
	is.Equal(runs.Load(), int32(1)) // one run for all duplicates
}

// TestReplyMatchesSentState guards against "not run" for a request that was marked as sent and may have run.
func TestReplyMatchesSentState(t *testing.T) {
	refused := notRun(pimedge.ReasonNoSlot)
	cases := []struct {
		name  string
		steps func(s SendTracker) pimedge.Reply
		want  pimedge.Outcome
	}{
		{"not committed", func(SendTracker) pimedge.Reply { return refused }, pimedge.OutcomeNotRun},
		{"committed", func(s SendTracker) pimedge.Reply { _ = s.Commit(); return refused }, pimedge.OutcomeUnknown},
		{"retracted", func(s SendTracker) pimedge.Reply { _ = s.Commit(); s.Retract(); return refused }, pimedge.OutcomeNotRun},
		{"no reply", func(s SendTracker) pimedge.Reply { _ = s.Commit(); return pimedge.Reply{} }, pimedge.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHome(&pimclock.Manual{}, selfID, DefaultConfig(), 0)
			for range 2 {
				reply := h.Run(t.Context(), request(1), func(_ context.Context, s SendTracker) pimedge.Reply { return c.steps(s) })
				is.Equal(reply.Outcome, c.want) // the first run and its duplicate
			}
		})
	}
}

// TestPanicFinishesRecord guards against duplicates that wait forever, and a record that stays in flight, after a panic
// in the execution.
func TestPanicFinishesRecord(t *testing.T) {
	is := is.New(t)
	h := newHome(&pimclock.Manual{}, selfID, DefaultConfig(), 0)
	func() {
		defer func() { _ = recover() }()
		h.Run(t.Context(), request(1), func(_ context.Context, s SendTracker) pimedge.Reply {
			_ = s.Commit()
			panic("send failed")
		})
	}()
	var runs atomic.Int32
	is.Equal(h.Run(t.Context(), request(1), countingExec(&runs)).Outcome, pimedge.OutcomeUnknown) // it may have run
	is.NoErr(h.Drain(t.Context()))                                                                // and is no longer in flight
}

// TestPermitEnd guards against runs after the permit of the token and against records that are dropped before its end.
func TestPermitEnd(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	h := newHome(clock, selfID, DefaultConfig(), 0)
	var runs atomic.Int32
	h.Run(t.Context(), request(1), countingExec(&runs))
	clock.Advance(PermitLifetime - 1)
	is.Equal(h.Run(t.Context(), request(1), countingExec(&runs)).Outcome, pimedge.OutcomeAnswered) // still recorded
	clock.Advance(time.Second)
	for tag := range pimid.RequestTag(2) {
		reply := h.Run(t.Context(), request(tag+1), countingExec(&runs))
		is.Equal(reply.Outcome, pimedge.OutcomeUnknown) // never run after the permit
		is.Equal(reply.Reason, pimedge.ReasonExpired)   // permit ended
	}
	is.Equal(runs.Load(), int32(1))
	records, bytes := h.Len()
	is.Equal(records+bytes, 0) // expired records free their memory
}

// TestMemoryLimits guards against records that are dropped early, and against "not run" for refusals that cannot be
// recorded, when the memory limits are reached.
func TestMemoryLimits(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Config)
	}{
		{"records", func(c *Config) { c.MaxRecords, c.MaxRefusals = 2, 1 }},
		{"bytes", func(c *Config) { c.AnswerReserve, c.MaxBytes, c.MaxRefusals = 2, 2*(recordBytes+2), 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, cfg := &pimclock.Manual{}, DefaultConfig()
			c.change(&cfg)
			h := newHome(clock, selfID, cfg, 0)
			var runs atomic.Int32
			want := []pimedge.Outcome{
				pimedge.OutcomeAnswered, pimedge.OutcomeAnswered, pimedge.OutcomeNotRun, pimedge.OutcomeUnknown,
			}
			for range 2 {
				for i, outcome := range want {
					is.Equal(h.Run(t.Context(), request(pimid.RequestTag(i+1)), countingExec(&runs)).Outcome, outcome)
				}
			}
			is.Equal(runs.Load(), int32(2)) // neither refused request ran
		})
	}
}

// TestHandover guards against runs of the same request at a home and its successor.
func TestHandover(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	first, second := newHome(clock, selfID, DefaultConfig(), 0), newHome(clock, successorID, DefaultConfig(), 0)
	var runs atomic.Int32
	first.Run(t.Context(), request(1), countingExec(&runs))
	inFlight := first.Start(request(2), nil)
	is.NoErr(inFlight.Commit())
	queued := first.Start(request(3), nil)
	_, err := first.Export(successorID)
	is.True(errors.Is(err, ErrNotStopped)) // records of an accepting home are incomplete
	first.Stop()
	is.Equal(first.Run(t.Context(), request(4), countingExec(&runs)).Reason, pimedge.ReasonDraining) // nothing new
	batches, err := first.Export(successorID)
	is.NoErr(err)
	_, err = first.Export(HomeID{Node: 3})
	is.True(errors.Is(err, ErrOtherSuccessor))      // two successors could both run a request
	is.True(errors.Is(queued.Commit(), ErrStopped)) // nothing is sent after the export

	is.Equal(second.Run(t.Context(), request(5), countingExec(&runs)).Reason, pimedge.ReasonHomeLost) // before the transfer
	for _, b := range batches {
		is.NoErr(second.Import(b))
	}
	want := []pimedge.Outcome{
		pimedge.OutcomeAnswered, pimedge.OutcomeUnknown, pimedge.OutcomeNotRun, pimedge.OutcomeNotRun, pimedge.OutcomeAnswered,
	}
	for i, outcome := range want {
		is.Equal(second.Run(t.Context(), request(pimid.RequestTag(i+1)), countingExec(&runs)).Outcome, outcome)
	}
	is.Equal(first.Run(t.Context(), request(6), countingExec(&runs)).Reason, pimedge.ReasonHomeLost) // the successor may run it
	is.Equal(runs.Load(), int32(2))                                                                  // requests 1 and 5
}

// TestHandoverSkew guards against a second run when the successor's wall clock is behind and the predecessor has dropped
// the record already.
func TestHandoverSkew(t *testing.T) {
	is := is.New(t)
	clock, cfg := &pimclock.Manual{}, DefaultConfig()
	var runs atomic.Int32
	first := newHome(clock, selfID, cfg, 0)
	first.Run(t.Context(), request(1), countingExec(&runs))
	clock.Advance(PermitLifetime)
	first.Stop()
	batches, err := first.Export(successorID)
	is.NoErr(err)
	second := newHome(clock, successorID, cfg, -(cfg.MaxSkew - time.Second))
	for _, b := range batches {
		is.NoErr(second.Import(b))
	}
	is.Equal(second.Run(t.Context(), request(1), countingExec(&runs)).Reason, pimedge.ReasonExpired)
	clock.Advance(PermitLifetime)
	fresh := request(2)
	fresh.IssuedAt += uint32(2 * PermitLifetime / time.Second)
	is.Equal(second.Run(t.Context(), fresh, countingExec(&runs)).Reason, pimedge.ReasonHomeLost) // no token of the predecessor permits runs any more
	is.Equal(runs.Load(), int32(1))
}

// TestDrain guards against a Drain that returns while requests are in flight, or that never returns.
func TestDrain(t *testing.T) {
	is := is.New(t)
	h := newHome(&pimclock.Manual{}, selfID, DefaultConfig(), 0)
	r := h.Start(request(1), nil)
	h.Stop()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(h.Drain(ended), context.Canceled)) // one request is in flight
	go r.Finish(answered)
	is.NoErr(h.Drain(t.Context()))
}

// TestMemoryLimitPerContract guards against a flood under one contract that takes the memory of the others' requests.
func TestMemoryLimitPerContract(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxRecords, cfg.MaxRefusals = 20, 20
	h := newHome(&pimclock.Manual{}, selfID, cfg, 0)
	outcomes := func(c pimid.ContractID, exec Exec) map[pimedge.Outcome]int {
		counts := map[pimedge.Outcome]int{}
		for i := range 50 {
			r := request(pimid.RequestTag(i))
			r.Contract, r.Flow = c, pimid.FlowID(c)
			counts[h.Run(t.Context(), r, exec).Outcome]++
		}
		return counts
	}
	var runs atomic.Int32
	refuse := func(context.Context, SendTracker) pimedge.Reply { return notRun(pimedge.ReasonRateLimit) }
	is.Equal(outcomes(1, refuse)[pimedge.OutcomeNotRun], 20)                // 10 in the table of refusals, then 10 among the records
	is.Equal(outcomes(2, countingExec(&runs))[pimedge.OutcomeAnswered], 10) // half of the records are left
}

// BenchmarkRun measures a first run with its record.
func BenchmarkRun(b *testing.B) {
	cfg := DefaultConfig()
	cfg.MaxRecords, cfg.MaxBytes = 1<<30, 1<<50
	h := newHome(&pimclock.Manual{}, selfID, cfg, 0)
	exec := func(_ context.Context, s SendTracker) pimedge.Reply { _ = s.Commit(); return answered }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Run(b.Context(), request(pimid.RequestTag(i)), exec)
	}
}

// BenchmarkDuplicate measures the answer to a duplicate.
func BenchmarkDuplicate(b *testing.B) {
	h := newHome(&pimclock.Manual{}, selfID, DefaultConfig(), 0)
	exec := func(_ context.Context, s SendTracker) pimedge.Reply { _ = s.Commit(); return answered }
	b.ReportAllocs()
	for b.Loop() {
		h.Run(b.Context(), request(1), exec)
	}
}
