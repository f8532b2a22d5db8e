package pimregistry

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// overwritten is the report of a backend server whose entry holds one that may come from another writer.
type overwritten struct {
	host *pimcatalog.Host
	// until is when the backend server must have written its entry again.
	until pimclock.Instant
}

// mayOverwrite reports whether the next report under a name may come from another writer, if the configuration names the service of the
// present one only.
func mayOverwrite(next, present *pimcatalog.Host) bool {
	return next.Service != present.Service || next.StartedAt == 0 && present.StartedAt != 0
}

// recordOverwritten keeps the present report of an entry that gets the next one, until it is clear that it was not overwritten. A report
// that is kept already is not replaced: one after it may come from another writer too.
func (r *Registry) recordOverwritten(now pimclock.Instant, next *pimcatalog.Host) {
	key := keyOf(next)
	present, kept := r.entries.get(key), r.overwritten[key]
	switch {
	case kept.host != nil && !mayOverwrite(next, kept.host):
		delete(r.overwritten, key)
	case kept.host == nil && present != nil && !present.Gone(now) && mayOverwrite(next, present):
		r.overwritten[key] = overwritten{host: present, until: now.Add(r.cfg.ReturnWithin)}
	}
}

// stateInForce returns the state of an entry. If its last report may have overwritten that of its backend server, and has no better
// claim, the backend server gets no new flows, but its open flows go on.
func (r *Registry) stateInForce(h *pimcatalog.Host) *pimcatalog.Host {
	kept := r.overwritten[keyOf(h)]
	if kept.host == nil {
		return h
	}
	if claim := r.compareClaims(kept.host, h); claim > 0 || claim == 0 && r.isPublished(h) {
		return h
	}
	state := *kept.host
	state.Leaving, state.Revision, state.Unlisted, state.GoneAt = true, h.Revision, h.Unlisted, h.GoneAt
	return &state
}

// removeOverwritten forgets reports that were not written again in time. The view must have been confirmed since.
func (r *Registry) removeOverwritten() {
	for key, kept := range r.overwritten {
		if r.hasExpired(kept) {
			delete(r.overwritten, key)
		}
	}
}

func (r *Registry) hasExpired(kept overwritten) bool {
	return kept.until <= pimclock.Instant(r.lastOK.Load())
}

// extendOverwritten gives backend servers whose entries were overwritten more time to write them again, after an outage of the platform.
func (r *Registry) extendOverwritten(deadline pimclock.Instant) {
	for key, kept := range r.overwritten {
		if !r.hasExpired(kept) {
			r.overwritten[key] = overwritten{host: kept.host, until: deadline}
		}
	}
}
