package pimslot

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// dispatch grants slots until no waiting request can get one.
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
		expires: e.req.Deadline.Add(c.cfg.GrantGrace), expected: s.meanDuration, fromPool: p.fromPool,
	}
	s.charge(now, g)
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

// charge counts a slot as running, after the use up to now has been accounted, and advances the contract's start tag by
// the expected duration if the slot is from the pool.
func (s *service) charge(now pimclock.Instant, g *grant) {
	c := g.contract
	c.account(now)
	s.poolPacer.account(now, s.running)
	s.running++
	if !g.fromPool {
		c.guaranteedUsed++
		return
	}
	c.poolUsed++
	s.virtualTime[c.terms.Priority] = max(s.virtualTime[c.terms.Priority], c.poolTag)
	c.poolTag += g.expected.Seconds() / c.weight()
}

// end frees the slot of a grant; without an observed duration, the expected one is charged.
func (c *Core) end(now pimclock.Instant, g *grant, observed time.Duration) {
	delete(c.grants, g.id)
	g.host.inFlight--
	if observed <= 0 {
		observed = g.expected
	}
	g.service.discharge(now, g, observed)
	if g.host.removed && g.host.inFlight == 0 {
		c.deleteHost(now, g.host)
	}
}

// discharge ends the use of a slot and corrects the contract's start tag from the expected to the observed duration.
func (s *service) discharge(now pimclock.Instant, g *grant, observed time.Duration) {
	c := g.contract
	c.account(now)
	s.poolPacer.account(now, s.running)
	s.running--
	if !g.fromPool {
		c.guaranteedUsed--
		return
	}
	c.poolUsed--
	c.poolTag += (observed - g.expected).Seconds() / c.weight()
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
