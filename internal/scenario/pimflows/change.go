package pimflows

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// detectAfter is the time after which the platform removes a backend server that died, in seconds.
const detectAfter = 10

// fabricDelay is the time for which the fabric still delivers packets to a VM that died, in seconds.
const fabricDelay = 3

// change replaces a quarter of the VMs, a quarter of the backend servers and the token key at the same instant.
func (s *sim) change() {
	s.env.publish(func(v *pimview.View) {
		s.env.rotateKey(v)
		for service := pimid.ServiceID(1); service <= services; service++ {
			s.replaceHosts(v, service)
		}
	})
	if s.cfg.Stuck {
		s.fleet[0].stuckUntil = s.env.now + int64(2*s.cfg.ChangeEvery)
	}
	for i := 1; i < len(s.fleet); i += 4 {
		s.fleet[i].dead = true
		s.fleet[i].replaceAt = s.env.now
		if s.cfg.Deaths {
			s.fleet[i].replaceAt += fabricDelay
		}
	}
}

// replaceVMs starts a new VM for each dead one whose replacement is due.
func (s *sim) replaceVMs() {
	for i, m := range s.fleet {
		if m.dead && s.env.now >= m.replaceAt {
			s.fleet[i] = s.startVM()
		}
	}
}

// replaceHosts marks a quarter of the backend servers of a service as leaving, or lets them die, and starts a new one
// for each.
func (s *sim) replaceHosts(v *pimview.View, service pimid.ServiceID) {
	live := liveHosts(v, service)
	for range s.cfg.Hosts / 4 {
		i := s.env.rng.IntN(len(live))
		b := live[i]
		live = slices.Delete(live, i, i+1)
		h := s.env.hosts[b.FlowAddress]
		if s.cfg.Deaths {
			h.dead, h.down = true, true
			h.removedAt = s.env.now + detectAfter
		} else {
			b.State = pimview.BackendLeaving
			v.Backends[b.ID] = b
		}
		s.env.leaving = append(s.env.leaving, h)
		fresh := s.env.startHost(service, s.env.newAddress())
		v.Backends[fresh.ID] = fresh
	}
}

// removeHosts removes from the view the dead backend servers after detectAfter, and the leaving ones once they have no
// flows.
func (s *sim) removeHosts() {
	s.env.leaving = slices.DeleteFunc(s.env.leaving, func(h *host) bool {
		if h.dead && s.env.now < h.removedAt || !h.dead && len(h.flows) > 0 {
			return false
		}
		h.removedAt, h.down = s.env.now, true
		s.env.publish(func(v *pimview.View) { delete(v.Backends, h.backend.ID) })
		s.env.removed = append(s.env.removed, h)
		return true
	})
}

// reuseAddresses starts a backend server of the other service at the address of each one that was removed at least
// ReuseAfter seconds ago.
func (s *sim) reuseAddresses() {
	s.env.removed = slices.DeleteFunc(s.env.removed, func(h *host) bool {
		if s.env.now < h.removedAt+int64(s.cfg.ReuseAfter) {
			return false
		}
		b := s.env.startHost(services+1-h.backend.Service, h.backend.FlowAddress)
		s.env.publish(func(v *pimview.View) { v.Backends[b.ID] = b })
		return true
	})
}

// liveHosts returns the live backend servers of a service, in the order of their ids.
func liveHosts(v *pimview.View, service pimid.ServiceID) []pimview.Backend {
	var live []pimview.Backend
	for _, b := range v.Backends {
		if b.Service == service && b.State == pimview.BackendLive {
			live = append(live, b)
		}
	}
	slices.SortFunc(live, func(a, b pimview.Backend) int { return int(a.ID) - int(b.ID) })
	return live
}
