package pimhistory

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// caller sends one operation after another. It retries an operation, under a new tag, only after the outcome not_run.
type caller struct {
	*sim
	token pimonce.Request
	tag   pimid.RequestTag
	op    int
}

// maxAttempts bounds the attempts of one operation.
const maxAttempts = 4

// renewToken obtains a token from a random VM, which becomes the home of the requests with this token.
func (c *caller) renewToken() {
	n := c.randomNode()
	c.lastFlow++
	c.token = pimonce.Request{Home: n.self, IssuedAt: n.unix.Unix(c.Now())}
	c.token.Flow = c.lastFlow
}

// next starts a new operation unless the run has ended.
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

// attempt sends the operation under a new tag and retransmits the packet through random VMs until a reply arrives.
// Without a reply within 8 s, the outcome is unknown.
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

// conclude handles the outcome of an attempt. After not_run, the caller retries with a new token while attempts are
// left. After unknown, the operation ends and the caller takes a new token.
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

// ended reports whether the run is over, so that callers and faults stop.
func (h *History) ended(length time.Duration, now pimclock.Instant) bool {
	return !now.Before(pimclock.Instant(length))
}
