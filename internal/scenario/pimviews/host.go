package pimviews

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// host is one run of a backend server.
type host struct {
	entry pimcatalog.Host
	// living is unset once it has crashed or ended; isLeaving is set once the store has acknowledged that it leaves or is gone.
	living, isLeaving bool
	leavingAt         pimclock.Instant
	endedAt           pimclock.Instant
	// writtenAt is when it last wrote its entry.
	writtenAt pimclock.Instant
	// removedAt is when the store removed its entry after it had ended; 0 before.
	removedAt pimclock.Instant
}

func hostName(id pimcatalog.HostID) string { return fmt.Sprintf("i-%08x", uint64(id)) }

// startHost starts a backend server under a new id, or now and then that of one that has ended.
func (s *sim) startHost(service pimcatalog.Service) {
	id := pimcatalog.HostID(s.nextID)
	if old := s.endedHost(service); old != nil && s.Rand.IntN(4) == 0 {
		id = old.entry.ID
	} else {
		s.nextID++
	}
	h := &host{living: true, entry: pimcatalog.Host{
		ID: id, Name: hostName(id), Service: service, DataCentre: s.dataCentre(), Slots: 2, Address: s.freeAddress(),
		StartedAt: time.Duration(s.Now()).Milliseconds(), Warmup: time.Second, Sequence: 1,
	}}
	s.hosts = append(s.hosts, h)
	s.trace("%s of %s starts at %v", h.entry.Name, service, h.entry.Address)
	s.writeHost(h)
}

func (s *sim) dataCentre() pimid.DataCentre {
	return pimid.DataCentre(fmt.Sprintf("dc-%d", 1+s.Rand.IntN(s.cfg.DataCentres)))
}

// endedHost returns a backend server of a service whose id no living one has, or nil.
func (s *sim) endedHost(service pimcatalog.Service) *host {
	for _, h := range s.hosts {
		if !h.living && h.entry.Service == service && h.endedAt != 0 && s.Now().Sub(h.endedAt) > reuseAfter && s.living(h.entry.ID) == nil {
			return h
		}
	}
	return nil
}

// freeAddress returns the address of a backend server that ended a while ago, or a new one.
func (s *sim) freeAddress() netip.AddrPort {
	used := map[netip.AddrPort]bool{}
	for _, h := range s.hosts {
		if h.living || h.endedAt == 0 || s.Now().Sub(h.endedAt) <= reuseAfter {
			used[h.entry.Address] = true
		}
	}
	for n := byte(1); ; n++ {
		if a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 64, n}), 8080); !used[a] {
			return a
		}
	}
}

// living returns the run of a backend server that lives, or nil.
func (s *sim) living(id pimcatalog.HostID) *host {
	for _, h := range s.hosts {
		if h.living && h.entry.ID == id {
			return h
		}
	}
	return nil
}

func (s *sim) writeHost(h *host) {
	e := h.entry
	h.writtenAt = s.Now()
	s.store.put(e.Name, pimregistry.Change{ID: e.ID, Name: e.Name, Host: &e})
}

// randomHost returns a living backend server that is not leaving; it may return nil.
func (s *sim) randomHost() *host {
	var of []*host
	for _, h := range s.hosts {
		if h.living && !h.isLeaving {
			of = append(of, h)
		}
	}
	if len(of) == 0 {
		return nil
	}
	return of[s.Rand.IntN(len(of))]
}

// releaseHost lets a backend server start and another one of its service leave and end.
func (s *sim) releaseHost() {
	h := s.randomHost()
	if h == nil {
		return
	}
	s.startHost(h.entry.Service)
	h.entry.Leaving, h.isLeaving, h.leavingAt = true, true, s.Now()
	h.entry.Sequence++
	s.trace("%s leaves", h.entry.Name)
	s.writeHost(h)
	s.After(drainWithin+time.Second+s.Exp(2*time.Second), func() {
		s.endHost(h)
		s.removeHost(h)
	})
}

func (s *sim) endHost(h *host) {
	if h.living {
		h.living, h.endedAt = false, s.Now()
		s.trace("%s has ended", h.entry.Name)
	}
}

// removeHost lets the store remove the entry of a backend server that has ended.
func (s *sim) removeHost(h *host) {
	s.store.remove(h.entry.Name)
	h.removedAt = s.Now()
}

// crashHost lets a backend server fall silent; its entry lapses, and another one starts.
func (s *sim) crashHost() {
	h := s.randomHost()
	if h == nil {
		return
	}
	s.endHost(h)
	s.After(lapseAfter, func() {
		if s.living(h.entry.ID) == nil {
			s.removeHost(h)
			h.isLeaving, h.leavingAt = true, s.Now()
		}
		s.startHost(h.entry.Service)
	})
}

// writeOdd lets another writer put an entry that resembles that of a backend server, change it, or remove it.
func (s *sim) writeOdd() {
	if n := len(s.odd); n > 0 && s.Rand.IntN(3) == 0 {
		s.trace("another writer removes %s", s.odd[n-1])
		s.store.remove(s.odd[n-1])
		s.odd = s.odd[:n-1]
		return
	}
	h := s.randomHost()
	if h == nil {
		return
	}
	if s.cfg.NamedLater && s.Rand.IntN(4) == 0 {
		s.overwrite(h)
		return
	}
	e := h.entry
	number := e.Name[len("i-"):]
	e.Name = []string{number, "x-" + number, "i-0000f00" + number[len(number)-1:]}[s.Rand.IntN(3)]
	c := pimregistry.Change{ID: e.ID, Name: e.Name, Host: &e}
	if e.Name[0] == 'i' {
		c.ID = 0xf000 + e.ID%16
		e.ID = c.ID
	}
	switch s.Rand.IntN(3) {
	case 0:
		e.Service = "notices"
	case 1:
		c.Host, c.Fault = nil, errors.New("a field is missing")
	case 2:
		e.Service, e.StartedAt = "notices", time.Duration(s.Now()).Milliseconds()
	}
	s.odd = append(s.odd, e.Name)
	s.trace("another writer puts %s, service %s, unreadable %v", e.Name, e.Service, c.Host == nil)
	s.store.put(e.Name, c)
}
