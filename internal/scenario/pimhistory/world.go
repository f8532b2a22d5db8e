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

// world is the simulated system and its history.
type world struct {
	*pimsim.Loop
	cfg          Config
	limits       pimonce.Config
	nodes        []*node
	incarnations int
	side         []bool
	cutUntil     pimclock.Instant
	flows        pimid.FlowID
	history      History
}

// Run simulates one history.
func Run(cfg Config) History {
	w := &world{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, limits: pimonce.DefaultConfig(), side: make([]bool, cfg.Nodes)}
	// A small store makes refusals for lack of memory part of the history.
	w.limits.MaxRecords, w.limits.MaxRefusals = 300, 100
	for i := range cfg.Nodes {
		n := &node{world: w, index: i}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
	for range cfg.Callers {
		c := &caller{world: w}
		w.After(w.Exp(time.Second), c.next)
	}
	w.faults()
	end := pimclock.Instant(cfg.Length)
	w.Run(end)
	// Late packets and permits end after the callers have stopped.
	w.Run(end.Add(2 * lateDelay))
	return w.history
}

// backend runs a request at its arrival; the answer may be lost even though the request ran.
func (w *world) backend(r pimonce.Request, answer func(pimedge.Reply)) {
	w.After(w.Exp(10*time.Millisecond), func() {
		if w.Rand.Float64() < shedPart {
			w.After(w.latency(), func() { answer(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonNoSlot}) })
			return
		}
		w.history.ran(r.Key, w.Now())
		if w.Rand.Float64() < silentPart {
			return
		}
		body := []byte(answerTo(r.Key))
		w.After(w.latency(), func() { answer(pimedge.Reply{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: body}) })
	})
}

// answerTo is the only right answer to a request.
func answerTo(k pimonce.Key) string { return fmt.Sprintf("%d/%d", k.Flow, k.Tag) }

// anyNode returns a random running VM.
func (w *world) anyNode() *node {
	for {
		if n := w.nodes[w.Rand.IntN(len(w.nodes))]; n.up {
			return n
		}
	}
}
