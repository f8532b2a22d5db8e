package pimhistory

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
)

// faults injects one fault after another until the end of the run.
func (s *sim) faults() {
	s.After(s.Exp(s.cfg.FaultPeriod), func() {
		if s.history.ended(s.cfg.Length, s.Now()) {
			return
		}
		n := s.randomNode()
		switch s.Rand.IntN(4) {
		case 0:
			s.kill(n)
		case 1:
			// A pause may exceed the deadline of a request.
			n.pausedUntil = s.Now().Add(s.Exp(3 * time.Second))
		case 2:
			s.partition()
		default:
			n.do(n.stop)
		}
		s.faults()
	})
}

// kill stops a VM without notice and restarts it after 2 s on average. It does nothing if fewer than half of the VMs
// would stay up.
func (s *sim) kill(n *node) {
	down := 0
	for _, o := range s.nodes {
		if !o.up {
			down++
		}
	}
	if 2*(down+1) > len(s.nodes) {
		return
	}
	n.up = false
	s.After(s.Exp(2*time.Second), n.boot)
}

// partition separates the VMs into two random sides for 2 s on average.
func (s *sim) partition() {
	for i := range s.side {
		s.side[i] = s.Rand.IntN(2) == 0
	}
	s.partitionedUntil = s.Now().Add(s.Exp(2 * time.Second))
}

// stop is a planned stop: the VM accepts no new requests, waits for a short drain, hands its records over to a random
// successor and restarts. If the successor would be the VM itself, the export fails or too few VMs are up, it stays
// stopped until a later fault restarts it.
func (n *node) stop() {
	n.home.Stop()
	n.later(n.Exp(drainTime), func() {
		to := n.randomNode()
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

// announce sends the successor to all VMs; each message may be late or lost.
func (n *node) announce(batches []pimonce.Batch, to *node) {
	for _, o := range n.nodes {
		for _, b := range batches {
			n.sendBetween(n, o, func() { o.successors[b.Home] = to })
		}
	}
}

// handOver sends the batches to the given incarnation of the successor, each after the acknowledgement of the previous
// one.
func (n *node) handOver(batches []pimonce.Batch, to *node, successor pimonce.HomeID) {
	if len(batches) == 0 {
		return
	}
	acknowledged := false
	n.sendBetween(n, to, func() {
		if to.self != successor || to.home.Import(batches[0]) != nil {
			return
		}
		n.sendBetween(to, n, func() {
			if !acknowledged {
				acknowledged = true
				n.handOver(batches[1:], to, successor)
			}
		})
	})
}
