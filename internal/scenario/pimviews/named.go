package pimviews

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// scheduleConfigs publishes the first configuration, with routes to one service, while the VMs start, and routes to the other one later.
func (s *sim) scheduleConfigs() {
	first := s.Rand.IntN(len(services))
	add := func(service pimcatalog.Service, ports ...uint16) func() {
		return func() {
			for _, port := range ports {
				s.routes[port] = service
				s.addedAt[port] = s.Now()
			}
			s.publish()
			s.trace("configuration %d names %s", s.version, service)
		}
	}
	s.After(time.Duration(s.Rand.Int64N(int64(stableWindow))), add(services[first], 1, 3))
	s.After(stableWindow+s.Exp(2*time.Second), add(services[1-first], 2, 4))
}

// named returns the services that the newest configuration names: with NamedLater, those of its routes.
func (s *sim) named() (names []pimcatalog.Service) {
	if !s.cfg.NamedLater {
		return services
	}
	for _, service := range services {
		for _, of := range s.routes {
			if of == service {
				names = append(names, service)
				break
			}
		}
	}
	return names
}

// overwrite lets another writer write an entry of an unnamed service under the name of a backend server, which writes its own again.
func (s *sim) overwrite(h *host) {
	e := h.entry
	e.Service, e.Sequence = "notices", 1
	e.Address = s.freeAddress()
	if s.Rand.IntN(2) == 0 {
		e.StartedAt = time.Duration(s.Now()).Milliseconds()
	}
	s.trace("another writer overwrites %s", e.Name)
	s.store.put(e.Name, pimregistry.Change{ID: e.ID, Name: e.Name, Host: &e})
	s.writeAgain(h)
}

// checkServing checks that a VM may place flows of a route at each backend server that has been registered for long enough.
func (s *sim) checkServing(v *vm, port uint16, isInTouch bool) {
	service := s.routes[port]
	if service == "" || !s.isBefore(s.addedAt[port], s.cfg.configWithin()) || !isInTouch {
		return
	}
	for _, h := range s.hosts {
		if h.entry.Service != service || !h.living || h.isLeaving || !s.isRegistered(h) {
			continue
		}
		if !slices.ContainsFunc(v.registry.Catalog().Service(service), func(known *pimcatalog.Host) bool {
			return known.Name == h.entry.Name && known.AcceptsNewFlows(s.Now())
		}) {
			s.violate("SERVE: %s places no flow at %s of %s, which is registered since %v", v.name, h.entry.Name, service, s.Now().Sub(h.writtenAt))
		}
	}
}

// isRegistered reports whether the store has had the entry of a backend server for long enough.
func (s *sim) isRegistered(h *host) bool {
	e, ok := s.store.entries[h.entry.Name]
	return ok && e.change.Host != nil && e.change.Host.Service == h.entry.Service && s.isBefore(h.writtenAt, s.cfg.goneWithin())
}
