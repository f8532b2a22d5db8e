package pimhistory

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
)

// faults injects one fault after another until the end of the run.
func (w *world) faults() {
	w.After(w.Exp(w.cfg.FaultPeriod), func() {
		if w.history.closed(w.cfg.Length, w.Now()) {
			return
		}
		n := w.anyNode()
		switch w.Rand.IntN(4) {
		case 0:
			w.kill(n)
		case 1:
			// A pause may exceed the deadline of a request.
			n.pausedUntil = w.Now().Add(w.Exp(3 * time.Second))
		case 2:
			w.partition()
		default:
			n.do(n.stop)
		}
		w.faults()
	})
}

// kill ends a run of a VM without notice; it restarts after a while. At least half of the VMs stay up.
func (w *world) kill(n *node) {
	down := 0
	for _, o := range w.nodes {
		if !o.up {
			down++
		}
	}
	if 2*(down+1) > len(w.nodes) {
		return
	}
	n.up = false
	w.After(w.Exp(2*time.Second), n.boot)
}

// partition splits the VMs into two sides for a while.
func (w *world) partition() {
	for i := range w.side {
		w.side[i] = w.Rand.IntN(2) == 0
	}
	w.cutUntil = w.Now().Add(w.Exp(2 * time.Second))
}

// stop is a planned stop: no new requests, a short drain, the handover, then a restart.
func (n *node) stop() {
	n.home.Stop()
	n.later(n.Exp(drainTime), func() {
		to := n.anyNode()
		if to == n {
			return
		}
		batches, err := n.home.Export(to.self)
		if err != nil {
			return
		}
		n.announce(batches, to)
		n.handOver(batches, to, to.self)
		n.later(n.Exp(2*time.Second), func() { n.kill(n) })
	})
}

// announce tells the other VMs about the successor, each at its own time or never.
func (n *node) announce(batches []pimonce.Batch, to *node) {
	for _, o := range n.nodes {
		for _, b := range batches {
			n.link(n, o, func() { o.successors[b.Home] = to })
		}
	}
}

// handOver sends the batches one after another; the next one follows the acknowledgement of the last.
func (n *node) handOver(batches []pimonce.Batch, to *node, run pimonce.HomeID) {
	if len(batches) == 0 {
		return
	}
	acknowledged := false
	n.link(n, to, func() {
		if to.self != run || to.home.Import(batches[0]) != nil {
			return
		}
		n.link(to, n, func() {
			if !acknowledged {
				acknowledged = true
				n.handOver(batches[1:], to, run)
			}
		})
	})
}
