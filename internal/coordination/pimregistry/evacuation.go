package pimregistry

import (
	"maps"
	"slices"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Evacuation is a published request to place no new flows in a data centre.
type Evacuation struct {
	DataCentre pimid.DataCentre `cbor:"1,keyasint"`
	// Revision is that of the last change of the request.
	Revision pimid.Revision `cbor:"2,keyasint"`
}

// EvacuationSet holds all requests for evacuation that are published. A delta always carries the whole set, since there is at
// most one request for each data centre.
type EvacuationSet struct {
	// AsOf is the revision up to which all changes of requests are included; some requests may be newer.
	AsOf        pimid.Revision `cbor:"1,keyasint"`
	Evacuations []Evacuation   `cbor:"2,keyasint,omitempty"`
}

// evacuations are the requests that a VM knows. A request of a revision up to asOf that is missing has been removed, so that no
// revisions of removals have to be kept to ignore late copies.
type evacuations struct {
	// asOf may be above the revision of the view while later parts of a delta are missing or after an urgent delta, and below it after a
	// delta of a VM of a version that does not know of evacuations.
	asOf      pimid.Revision
	published map[pimid.DataCentre]pimid.Revision
}

// apply applies one change of a request. The decision is Applied only if the evacuation of the data centre begins or ends.
func (e *evacuations) apply(c Change) Decision {
	revision, isEvacuated := e.published[c.Evacuation]
	switch {
	case c.Revision <= max(e.asOf, revision), c.Removed && !isEvacuated:
		return Outdated
	case c.Removed:
		delete(e.published, c.Evacuation)
		return Applied
	}
	e.published[c.Evacuation] = c.Revision
	if isEvacuated {
		return Renewed
	}
	return Applied
}

// endMissing removes the requests that are missing from a complete list of a revision, and returns their data centres. A request
// that is newer than the list stays: it may have been published after its page was read.
func (e *evacuations) endMissing(listed map[pimid.DataCentre]bool, asOf pimid.Revision) (ended []pimid.DataCentre) {
	if asOf <= e.asOf {
		return nil
	}
	e.asOf = asOf
	for dc, revision := range e.published {
		if !listed[dc] && revision <= asOf {
			delete(e.published, dc)
			ended = append(ended, dc)
		}
	}
	slices.Sort(ended)
	return ended
}

// names returns the evacuated data centres, sorted.
func (e *evacuations) names() []pimid.DataCentre { return slices.Sorted(maps.Keys(e.published)) }

// set returns all requests for another VM, or nil if none were ever read.
func (e *evacuations) set() *EvacuationSet {
	if e.asOf == 0 {
		return nil
	}
	s := &EvacuationSet{AsOf: e.asOf}
	for _, dc := range e.names() {
		s.Evacuations = append(s.Evacuations, Evacuation{DataCentre: dc, Revision: e.published[dc]})
	}
	return s
}

// applyEvacuations applies the requests of a batch, also if the rest of the batch is known already.
func (r *Registry) applyEvacuations(b *Batch) {
	isChanged := false
	for _, c := range b.Changes {
		if c.Evacuation != "" {
			isChanged = r.applyEvacuation(c, Applied) || isChanged
		}
	}
	if b.From <= r.evacuations.asOf {
		r.evacuations.asOf = max(r.evacuations.asOf, b.To)
	}
	if isChanged {
		r.publish()
	}
}

// restoreEvacuations applies the requests of a complete list, also if the list is older than the rest of the view.
func (r *Registry) restoreEvacuations(s *Snapshot) {
	var requests []Change
	for _, c := range s.Changes {
		if c.Evacuation != "" {
			requests = append(requests, c)
		}
	}
	r.replaceEvacuations(requests, s.Revision, Applied)
}

// mergeEvacuations applies the requests of another VM, which may be newer than the delta that carries them.
func (r *Registry) mergeEvacuations(s *EvacuationSet) {
	if s == nil {
		return
	}
	requests := make([]Change, 0, len(s.Evacuations))
	for _, e := range s.Evacuations {
		if e.DataCentre != "" {
			requests = append(requests, Change{Evacuation: e.DataCentre, Revision: e.Revision})
		}
	}
	r.replaceEvacuations(requests, s.AsOf, Relayed)
}

// replaceEvacuations applies all requests that were published at a revision. A change is reported with the decision that is
// given.
func (r *Registry) replaceEvacuations(requests []Change, asOf pimid.Revision, decision Decision) {
	isChanged := false
	listed := make(map[pimid.DataCentre]bool, len(requests))
	for _, c := range requests {
		listed[c.Evacuation] = true
		isChanged = r.applyEvacuation(c, decision) || isChanged
	}
	for _, dc := range r.evacuations.endMissing(listed, asOf) {
		isChanged = true
		r.notify(Change{Evacuation: dc, Revision: asOf, Removed: true}, decision)
	}
	if isChanged {
		r.publish()
	}
}

// applyEvacuation applies one change of a request, and reports whether the evacuation of the data centre begins or ends. An
// unreadable value counts like any other, since the key states the request.
func (r *Registry) applyEvacuation(c Change, decision Decision) (isChanged bool) {
	d := r.evacuations.apply(c)
	isChanged = d == Applied
	if isChanged {
		d = decision
	}
	r.notify(c, d)
	return isChanged
}

// ReadFrom returns the revision after which the platform is to be watched: all changes up to it are known. It is below Revision
// after a delta of a VM of a version that does not know of evacuations.
func (r *Registry) ReadFrom() pimid.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.revision, r.evacuations.asOf)
}
