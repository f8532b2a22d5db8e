package pimviews

import (
	"errors"
	"fmt"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// evacuationState says since when the store has had a request for a data centre, or none.
type evacuationState struct {
	isPublished bool
	since       pimclock.Instant
}

// evacuationKey sorts between the configuration and the names of backend servers, as in the platform's store.
func evacuationKey(dc pimid.DataCentre) string { return "!evacuate/" + string(dc) }

// evacuate lets the operator request the evacuation of a data centre, and return it to use after a while. The value of some
// requests cannot be read.
func (s *sim) evacuate() {
	dc := s.dataCentre()
	if s.wanted[dc] {
		return
	}
	s.wanted[dc] = true
	s.requestEvacuation(dc)
	s.After(time.Second+s.Exp(5*time.Second), func() {
		delete(s.wanted, dc)
		s.store.remove(evacuationKey(dc))
	})
}

func (s *sim) requestEvacuation(dc pimid.DataCentre) {
	c := pimregistry.Change{Evacuation: dc}
	if s.Rand.IntN(3) == 0 {
		c.Fault = errors.New("the value is no object")
	}
	s.store.put(evacuationKey(dc), c)
}

// requestAgain lets the operator request again what the store has lost, and remove what the copy has brought back.
func (s *sim) requestAgain() {
	for i := range s.cfg.DataCentres {
		dc := dataCentreName(i)
		_, isPublished := s.store.entries[evacuationKey(dc)]
		switch {
		case s.wanted[dc] && !isPublished:
			s.requestEvacuation(dc)
		case !s.wanted[dc]:
			s.store.remove(evacuationKey(dc))
		}
	}
}

func dataCentreName(i int) pimid.DataCentre { return pimid.DataCentre(fmt.Sprintf("dc-%d", i+1)) }

// noteEvacuations records since when the store has had each request.
func (s *sim) noteEvacuations() {
	for i := range s.cfg.DataCentres {
		dc := dataCentreName(i)
		if _, isPublished := s.store.entries[evacuationKey(dc)]; isPublished != s.evacuations[dc].isPublished {
			s.trace("the request to evacuate %s is published: %v", dc, isPublished)
			s.evacuations[dc] = evacuationState{isPublished, s.Now()}
		}
	}
}

// checkEvacuated checks a new flow to a backend server.
func (s *sim) checkEvacuated(v *vm, h *pimcatalog.Host, isInTouch bool) {
	e := s.evacuations[h.DataCentre]
	if e.isPublished && s.isBefore(e.since, evacuatedWithin) && isInTouch {
		s.violate("EVACUATE: %s sends a flow to %s in %s, which is evacuated since %v", v.name, h.Name, h.DataCentre, s.Now().Sub(e.since))
	}
}

// checkEvacuations checks that a VM has the requests of the store, also where no flow shows it.
func (s *sim) checkEvacuations(v *vm, isInTouch bool) {
	for i := range s.cfg.DataCentres {
		dc := dataCentreName(i)
		e := s.evacuations[dc]
		if isKnown := v.registry.Catalog().IsEvacuated(dc); isKnown != e.isPublished && s.isBefore(e.since, evacuatedWithin) && isInTouch {
			s.violate("EVACUATE: %s has the evacuation of %s as %v, the store has it as %v since %v", v.name, dc, isKnown, e.isPublished, s.Now().Sub(e.since))
		}
	}
}

// checkRefusal checks a flow that was refused because of evacuations: a data centre with a backend server of the service must be evacuated,
// or have been until recently. A VM that is out of touch must not refuse by its view, so that this holds for all.
func (s *sim) checkRefusal(v *vm, service pimcatalog.Service) {
	for _, e := range s.evacuations {
		if e.isPublished || !s.isBefore(e.since, evacuatedWithin) {
			return
		}
	}
	s.violate("EVACUATE: %s refuses a flow of %s, although no data centre is evacuated", v.name, service)
}

// checkNew checks that a request that begins or ends in the view of a VM is newer than the view: a late copy must not count.
func (v *vm) checkNew(c *pimregistry.Change) {
	if known := v.registry.Catalog().Revision; c.Revision <= known {
		v.sim.violate("EVACUATE: %s applies revision %v of the request for %s in a view of %v", v.name, c.Revision, c.Evacuation, known)
	}
}
