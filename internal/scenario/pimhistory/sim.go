package pimhistory

import (
	"fmt"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// sim is the state of one run: the VMs, the partition between them and the recorded history.
type sim struct {
	*pimsim.Loop
	cfg             Config
	limits          pimonce.Config
	nodes           []*node
	lastIncarnation int
	// side tells for each VM on which side of the partition it is.
	side             []bool
	partitionedUntil pimclock.Instant
	lastFlow         pimid.FlowID
	history          History
}

// Run simulates callers, VMs and faults and returns the history of all requests.
func Run(cfg Config) History {
	s := &sim{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, limits: pimonce.DefaultConfig(), side: make([]bool, cfg.Nodes)}
	// A small record store makes refusals for lack of memory part of the history.
	s.limits.MaxRecords, s.limits.MaxRefusals = 300, 100
	for i := range cfg.Nodes {
		n := &node{sim: s, index: i}
		s.nodes = append(s.nodes, n)
		n.boot()
	}
	for range cfg.Callers {
		c := &caller{sim: s}
		s.After(s.Exp(time.Second), c.next)
	}
	s.faults()
	end := pimclock.Instant(cfg.Length)
	s.Run(end)
	// Very late packets arrive, and permits end, after the callers have stopped.
	s.Run(end.Add(2 * lateDelay))
	return s.history
}

// backend simulates a backend server, which refuses a request or runs it on arrival. The answer may be lost although
// the request ran.
func (s *sim) backend(r pimonce.Request, answer func(pimedge.Reply)) {
	s.After(s.Exp(10*time.Millisecond), func() {
		if s.Rand.Float64() < shedProbability {
			s.After(s.latency(), func() { answer(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonNoSlot}) })
			return
		}
		s.history.ran(r.Key, s.Now())
		if s.Rand.Float64() < noAnswerProbability {
			return
		}
		body := []byte(expectedAnswer(r.Key))
		s.After(s.latency(), func() { answer(pimedge.Reply{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: body}) })
	})
}

// expectedAnswer returns the only correct answer to a request.
func expectedAnswer(k pimonce.Key) string { return fmt.Sprintf("%d/%d", k.Flow, k.Tag) }

// randomNode returns a random running VM.
func (s *sim) randomNode() *node {
	for {
		if n := s.nodes[s.Rand.IntN(len(s.nodes))]; n.up {
			return n
		}
	}
}
