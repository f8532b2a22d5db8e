package pimhistory

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// caller sends one operation after another; it repeats an operation under a new tag only after not_run.
type caller struct {
	*sim
	token pimonce.Request
	tag   pimid.RequestTag
	op    int
}

// maxAttempts bounds the attempts of one operation.
const maxAttempts = 4

// renewToken obtains a token from any VM, which becomes the home of its requests.
func (c *caller) renewToken() {
	n := c.randomNode()
	c.lastFlow++
	c.token = pimonce.Request{Home: n.self, IssuedAt: n.unix.Unix(c.Now())}
	c.token.Flow = c.lastFlow
}

// next begins a new operation.
func (c *caller) next() {
	if c.history.ended(c.cfg.Length, c.Now()) {
		return
	}
	if c.token.Flow == 0 {
		c.renewToken()
	}
	c.op = c.history.begin()
	c.attempt(maxAttempts)
}

// attempt sends the operation under a new tag and retransmits the packet through other VMs.
func (c *caller) attempt(left int) {
	c.tag++
	r := c.token
	r.Tag = c.tag
	op, sent := c.op, c.Now()
	c.history.tag(op, r.Key)
	done := false
	reply := func(p pimedge.Reply) {
		c.send(func() {
			c.history.replied(r.Key, p, sent, c.Now())
			if !done {
				done = true
				c.conclude(p, left)
			}
		})
	}
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 3500 * time.Millisecond} {
		c.After(after, func() {
			if !done {
				c.send(func() { n := c.randomNode(); n.do(func() { n.receive(r, reply) }) })
			}
		})
	}
	c.After(8*time.Second, func() {
		if !done {
			done = true
			c.conclude(pimedge.Reply{Outcome: pimedge.OutcomeUnknown}, left)
		}
	})
}

// conclude repeats after not_run; after unknown, the operation ends and the caller takes a new token.
func (c *caller) conclude(p pimedge.Reply, left int) {
	switch {
	case p.Outcome == pimedge.OutcomeNotRun && left > 1:
		c.renewToken()
		c.attempt(left - 1)
		return
	case p.Outcome == pimedge.OutcomeUnknown:
		c.renewToken()
	}
	c.After(c.Exp(200*time.Millisecond), c.next)
}

// ended reports whether callers and faults have stopped.
func (h *History) ended(length time.Duration, now pimclock.Instant) bool {
	return !now.Before(pimclock.Instant(length))
}
