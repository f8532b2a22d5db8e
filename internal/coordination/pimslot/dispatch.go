package pimslot

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// dispatch grants slots until none is free for a waiting request.
func (c *Core) dispatch(now pimclock.Instant, s *service) {
	for len(s.active) > 0 {
		p, ok := s.next(now)
		if !ok {
			return
		}
		c.grant(now, s, p)
	}
}

func (c *Core) grant(now pimclock.Instant, s *service, p pick) {
	ct, e := p.contract, p.contract.queue[p.index]
	c.lastGrant++
	g := &grant{
		id: c.lastGrant, service: s, contract: ct, host: p.host, generation: p.host.Generation,
		expires: e.req.Deadline.Add(c.cfg.GrantGrace), expected: s.duration, pool: p.pool,
	}
	s.charge(g)
	ct.running++
	s.running++
	p.host.inFlight++
	p.host.lastGrant = g.id
	c.grants[g.id] = g
	s.dequeue(ct, p.index)
	delete(c.offers, e.id)
	c.decisions = append(c.decisions, Decision{Offer: e.id, Grant: Grant{
		ID: g.id, Backend: p.host.ID, Generation: p.host.Generation, ExpiresAt: g.expires,
		Wait: min(s.wait(now, ct), c.cfg.MaxRetryAfter),
	}})
}

// charge accounts the slot to the guarantee or to the pool.
func (s *service) charge(g *grant) {
	c := g.contract
	if !g.pool {
		g.paced = c.guarantee.charge(c.running, g.expected)
		return
	}
	g.paced = c.borrow.charge(c.borrowed, g.expected)
	g.lending = s.lending.charge(s.running, g.expected)
	c.borrowed++
	s.virtual[c.terms.Priority] = max(s.virtual[c.terms.Priority], c.poolTag)
	c.poolTag += g.expected.Seconds() / c.weight()
}

// end frees the slot of a grant; a zero duration keeps the expected one.
func (c *Core) end(now pimclock.Instant, g *grant, observed time.Duration) {
	delete(c.grants, g.id)
	g.host.inFlight--
	g.service.running--
	g.contract.running--
	if observed <= 0 {
		observed = g.expected
	}
	g.service.settle(g, observed)
	if g.host.gone && g.host.inFlight == 0 {
		c.forget(now, g.host)
	}
}

// settle replaces the expected duration in the charges of a grant by the observed one.
func (s *service) settle(g *grant, observed time.Duration) {
	c := g.contract
	if !g.pool {
		if g.paced {
			c.guarantee.correct(g.expected, observed)
		}
		return
	}
	c.borrowed--
	c.poolTag += (observed - g.expected).Seconds() / c.weight()
	if g.paced {
		c.borrow.correct(g.expected, observed)
	}
	if g.lending {
		s.lending.correct(g.expected, observed)
	}
}

// expire refuses the waiting requests whose deadline has passed.
func (c *Core) expire(now pimclock.Instant, s *service) {
	for _, ct := range slices.Clone(s.active) {
		for i := len(ct.queue) - 1; i >= 0; i-- {
			e := ct.queue[i]
			if now.Before(e.req.Deadline) {
				continue
			}
			s.dequeue(ct, i)
			delete(c.offers, e.id)
			c.refuse(e.id, pimedge.ReasonNoSlot, s.wait(now, ct))
		}
	}
}

func (c *Core) refuse(id OfferID, reason pimedge.Reason, wait time.Duration) {
	wait = min(wait, c.cfg.MaxRetryAfter)
	c.decisions = append(c.decisions, Decision{Offer: id, Refusal: &RefusalError{
		Reason: reason, RetryAfter: wait, Wait: wait,
	}})
}

// drop removes a waiting request without a decision.
func (c *Core) drop(e *entry) {
	s := c.services[e.req.Service]
	if i := slices.Index(e.contract.queue, e); i >= 0 {
		s.dequeue(e.contract, i)
	}
	delete(c.offers, e.id)
}
