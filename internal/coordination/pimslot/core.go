package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Core schedules the slots of the owned hosts; it is not safe for concurrent use. The decisions that a method returns are
// valid until the next call.
type Core struct {
	cfg      Config
	services map[pimid.ServiceID]*service
	// ordered lists the services in the order of their first use.
	ordered   []*service
	hosts     map[pimid.BackendID]*host
	grants    map[GrantID]*grant
	offers    map[OfferID]*entry
	lastGrant GrantID
	decisions []Decision
}

// grant is one slot in use.
type grant struct {
	id       GrantID
	service  *service
	contract *contract
	host     *host
	expires  pimclock.Instant
	// expected is the mean duration of requests at the time of the grant.
	expected time.Duration
	// fromPool reports that the slot is not one of the contract's guaranteed slots.
	fromPool bool
	// generation is that of the host at the time of the grant; results of an earlier generation do not count against the
	// restarted host.
	generation pimid.Generation
}

// NewCore returns a core without hosts.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:      cfg,
		services: map[pimid.ServiceID]*service{},
		hosts:    map[pimid.BackendID]*host{},
		grants:   map[GrantID]*grant{},
		offers:   map[OfferID]*entry{},
	}
}

// Offer submits a request under an id that is unique among the waiting requests; the request is granted, refused or left
// waiting.
func (c *Core) Offer(now pimclock.Instant, id OfferID, r SlotRequest) []Decision {
	c.decisions = c.decisions[:0]
	s := c.services[r.Service]
	var ct *contract
	if s != nil {
		ct = s.contracts[r.Contract]
	}
	if ct == nil {
		c.refuse(id, pimedge.ReasonNoContract, 0)
		return c.decisions
	}
	s.refresh(now)
	if refused := c.refuseEarly(now, s, ct, id, r); refused {
		return c.decisions
	}
	e := &entry{id: id, req: r, contract: ct}
	c.offers[id] = e
	s.enqueue(now, e)
	c.dispatch(now, s)
	return c.decisions
}

// refuseEarly refuses a request that cannot start before its deadline, exceeds the queue limits or has tried every usable
// host.
func (c *Core) refuseEarly(now pimclock.Instant, s *service, ct *contract, id OfferID, r SlotRequest) bool {
	wait := s.wait(now, ct)
	switch {
	case !now.Before(r.Deadline):
		c.refuse(id, pimedge.ReasonDeadline, wait)
	case c.queuesFull(ct):
		c.refuse(id, pimedge.ReasonOverload, wait)
	case !now.Add(wait).Before(r.Deadline) || s.excludesAll(now, r):
		c.refuse(id, pimedge.ReasonNoSlot, wait)
	default:
		return false
	}
	return true
}

// queuesFull reports whether the contract may not queue another request: its own queue is full, or all queues together
// are full and it has MinQueue waiting requests.
func (c *Core) queuesFull(ct *contract) bool {
	waiting := len(ct.queue)
	return waiting >= c.cfg.MaxQueue || len(c.offers) >= c.cfg.MaxQueued && waiting >= c.cfg.MinQueue
}

// excludesAll reports whether the request has tried every usable host.
func (s *service) excludesAll(now pimclock.Instant, r SlotRequest) bool {
	for _, h := range s.hosts {
		if h.usable(now) && !excluded(h.ID, r.Exclude) {
			return false
		}
	}
	return true
}

// Release ends a grant with the observed result; it returns ErrUnknownGrant for a grant that has expired.
func (c *Core) Release(now pimclock.Instant, id GrantID, r Result) (decisions []Decision, err error) {
	c.decisions = c.decisions[:0]
	g := c.grants[id]
	if g == nil {
		return nil, ErrUnknownGrant
	}
	c.end(now, g, r.Duration)
	if g.generation == g.host.Generation {
		g.service.observeResult(now, g.host, r)
	}
	if r.Outcome == pimedge.OutcomeAnswered {
		g.service.observeDuration(r.Duration)
	}
	g.service.refresh(now)
	c.dispatch(now, g.service)
	return c.decisions, nil
}

// Cancel removes a waiting request; it reports whether the request was still waiting.
func (c *Core) Cancel(id OfferID) bool {
	e := c.offers[id]
	if e == nil {
		return false
	}
	c.drop(e)
	return true
}

// Tick expires grants and waiting requests and grants the slots that time has made available.
func (c *Core) Tick(now pimclock.Instant) []Decision {
	c.decisions = c.decisions[:0]
	for _, g := range c.grants {
		if !now.Before(g.expires) {
			c.end(now, g, 0)
		}
	}
	for _, s := range c.ordered {
		s.refresh(now)
		c.expire(now, s)
		c.dispatch(now, s)
	}
	return c.decisions
}

// Wait estimates how long a new request of the contract would wait, up to MaxRetryAfter.
func (c *Core) Wait(now pimclock.Instant, id pimid.ServiceID, contract pimid.ContractID) time.Duration {
	s := c.services[id]
	if s == nil || s.contracts[contract] == nil {
		return 0
	}
	s.refresh(now)
	return min(s.wait(now, s.contracts[contract]), c.cfg.MaxRetryAfter)
}

// Load counts the waiting requests, the running requests and the usable slots of one service at one owner.
type Load struct {
	Waiting, Running, Capacity int
}

// Load returns the waiting and running requests and the usable slots of a service.
func (c *Core) Load(id pimid.ServiceID) (l Load) {
	s := c.services[id]
	if s == nil {
		return l
	}
	l.Running, l.Capacity = s.running, s.capacity
	for _, ct := range s.active {
		l.Waiting += len(ct.queue)
	}
	return l
}
