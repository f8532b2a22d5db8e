package pimslot

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// SetHosts replaces the set of owned hosts; a removed host receives no new work and its running requests end normally.
func (c *Core) SetHosts(now pimclock.Instant, hosts []Host) []Decision {
	c.decisions = c.decisions[:0]
	owned := make(map[pimid.BackendID]bool, len(hosts))
	for _, d := range hosts {
		owned[d.ID] = true
		c.setHost(now, d)
	}
	for id, h := range c.hosts {
		if owned[id] {
			continue
		}
		h.removed = true
		if h.inFlight == 0 {
			c.deleteHost(now, h)
		}
	}
	for _, s := range c.ordered {
		s.refresh(now)
		c.dispatch(now, s)
	}
	return c.decisions
}

func (c *Core) setHost(now pimclock.Instant, d Host) {
	if h := c.hosts[d.ID]; h != nil {
		if h.Service == d.Service {
			h.update(now, d, &c.cfg)
			return
		}
		// A host that moves to another service becomes a new host; the running requests of the old one end normally.
		h.removed = true
		c.deleteHost(now, h)
	}
	h := newHost(now, d, &c.cfg)
	c.hosts[d.ID] = h
	s := c.service(d.Service)
	s.hosts = append(s.hosts, h)
}

// deleteHost deletes a host that is no longer owned.
func (c *Core) deleteHost(now pimclock.Instant, h *host) {
	if c.hosts[h.ID] == h {
		delete(c.hosts, h.ID)
	}
	s := c.service(h.Service)
	s.hosts = slices.DeleteFunc(s.hosts, func(o *host) bool { return o == h })
	s.refresh(now)
}

// SetPolicy replaces the active terms of all contracts of one service; waiting requests of contracts without terms are
// refused.
func (c *Core) SetPolicy(now pimclock.Instant, p Policy) []Decision {
	c.decisions = c.decisions[:0]
	s := c.service(p.Service)
	for _, e := range s.setPolicy(now, p) {
		delete(c.offers, e.id)
		c.refuse(e.id, pimedge.ReasonNoContract, 0)
	}
	s.refresh(now)
	c.dispatch(now, s)
	return c.decisions
}

// ReportLoad records the number of running requests that a host reports.
func (c *Core) ReportLoad(now pimclock.Instant, id pimid.BackendID, inFlight int) []Decision {
	c.decisions = c.decisions[:0]
	if h := c.hosts[id]; h != nil {
		h.observeLoad(inFlight)
		c.dispatch(now, c.service(h.Service))
	}
	return c.decisions
}

// Ejected returns the owned hosts that are ejected at the given time.
func (c *Core) Ejected(now pimclock.Instant) (ids []pimid.BackendID) {
	for id, h := range c.hosts {
		if h.health.ejected(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) service(id pimid.ServiceID) *service {
	s := c.services[id]
	if s == nil {
		s = newService(&c.cfg, id)
		c.services[id] = s
		c.ordered = append(c.ordered, s)
	}
	return s
}
