package pimhistory

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// node is one VM; a restart gives it an empty home and a new incarnation.
type node struct {
	*sim
	index       int
	self        pimonce.HomeID
	home        *pimonce.Home
	unix        pimonce.UnixClock
	up          bool
	pausedUntil pimclock.Instant
	// successors maps a stopped home to the VM that took over its records, if this VM has received the announcement.
	successors map[pimonce.HomeID]*node
}

// boot starts a new incarnation of the VM with an empty home and a wall clock that is wrong by up to maxSkew.
func (n *node) boot() {
	n.lastIncarnation++
	n.self = pimonce.HomeID{Node: pimid.NodeID(n.index + 1), Incarnation: pimid.Incarnation(n.lastIncarnation)}
	skew := time.Duration((2*n.Rand.Float64() - 1) * float64(maxSkew))
	n.unix = pimonce.NewUnixClock(n.Now(), time.Unix(1_000_000, 0).Add(time.Duration(n.Now())).Add(skew))
	n.home = pimonce.NewHome(n.limits, n.self, n.Clock, n.unix)
	n.successors = map[pimonce.HomeID]*node{}
	n.up = true
}

// do runs an event at the VM. A paused VM runs it when it resumes, unless it has restarted by then; a VM that is down
// drops it.
func (n *node) do(f func()) {
	self := n.self
	switch {
	case !n.up:
	case n.Now().Before(n.pausedUntil):
		n.After(n.pausedUntil.Sub(n.Now()), func() {
			if n.self == self {
				n.do(f)
			}
		})
	default:
		f()
	}
}

// later runs an event at the VM after a delay, unless the VM has restarted by then.
func (n *node) later(d time.Duration, f func()) {
	self := n.self
	n.After(d, func() {
		if n.self == self {
			n.do(f)
		}
	})
}

// receive handles a request packet at the VM that the fabric delivered it to: it runs the request if this VM is the
// home, and relays it to the home VM otherwise. If the home is lost or unreachable, the outcome is unknown.
func (n *node) receive(r pimonce.Request, reply func(pimedge.Reply)) {
	if n.cfg.Variant == EntryVM {
		r.Home, r.IssuedAt = n.self, n.unix.Unix(n.Now())
		n.start(r, reply)
		return
	}
	to := n.route(r.Home)
	switch {
	case to == n:
		n.start(r, reply)
	case to == nil || !to.up || n.partitioned(n, to):
		reply(pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonHomeLost})
	default:
		n.sendBetween(n, to, func() { to.start(r, func(p pimedge.Reply) { n.sendBetween(to, n, func() { reply(p) }) }) })
	}
}

// route returns the VM that may run requests of a home, as far as this VM knows, or nil if the home is lost.
func (n *node) route(home pimonce.HomeID) *node {
	to := n.nodes[home.Node-1]
	if to.self != home {
		to = nil
	}
	if next := n.successors[home]; next != nil {
		return next
	}
	return to
}

// start registers a request at its home and makes the first attempt after a random wait. A retransmission gets the
// recorded reply or waits for the reply to the request that runs already.
func (n *node) start(r pimonce.Request, reply func(pimedge.Reply)) {
	run := n.home.Start(r, reply)
	if run == nil {
		return
	}
	deadline := n.Now().Add(requestTimeout)
	n.later(n.Exp(50*time.Millisecond), func() { n.attempt(r, run, deadline, 0, reply) })
}

// attempt takes the same steps as pimonce.Executor: check the deadline, mark the request as sent, send it. If the
// backend server refuses the request, it is retried once.
func (n *node) attempt(r pimonce.Request, run *pimonce.Running, deadline pimclock.Instant, tries int, reply func(pimedge.Reply)) {
	finish := func(p pimedge.Reply) { reply(run.Finish(p)) }
	if !n.Now().Before(deadline) {
		finish(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonDeadline})
		return
	}
	if run.Commit() != nil {
		finish(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonDraining})
		return
	}
	answered := false
	once := func(f func()) func() {
		return func() {
			if !answered {
				answered = true
				f()
			}
		}
	}
	n.backend(r, func(p pimedge.Reply) {
		n.do(once(func() {
			if p.Outcome == pimedge.OutcomeNotRun && tries == 0 {
				run.Retract()
				n.later(n.Exp(20*time.Millisecond), func() { n.attempt(r, run, deadline, 1, reply) })
				return
			}
			if p.Outcome == pimedge.OutcomeNotRun {
				run.Retract()
			}
			finish(p)
		}))
	})
	n.later(answerTimeout, once(func() {
		finish(pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer})
	}))
}
