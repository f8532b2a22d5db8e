package pimregistry

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxOverwritten bounds the reports that are kept for one entry; the first ones are kept.
const maxOverwritten = 4

// overwritten holds what the present report of an entry has replaced. Either may come from another writer.
type overwritten struct {
	// since is the revision at which the claim of the present report first appeared.
	since pimid.Revision
	// reports have claims that differ from each other and from that of the present report.
	reports []overwrittenReport
}

type overwrittenReport struct {
	host  *pimcatalog.Host
	since pimid.Revision
	// until is when the backend server must have written its entry again.
	until pimclock.Instant
}

// hasSameClaim reports whether two reports under one name may be of the same writer, whatever the configuration.
func hasSameClaim(a, b *pimcatalog.Host) bool {
	return a.Service == b.Service && (a.StartedAt != 0) == (b.StartedAt != 0)
}

// recordOverwritten keeps the present report of an entry beside the next one, if their claims differ. It need not be kept any longer
// once one with its claim has been written again.
func (r *Registry) recordOverwritten(now pimclock.Instant, next *pimcatalog.Host) {
	key := keyOf(next)
	present, before := r.entries.get(key), r.overwritten[key]
	switch {
	case present == nil || present.Gone(now):
		delete(r.overwritten, key)
		return
	case hasSameClaim(next, present):
		return
	}
	after := overwritten{since: next.Revision}
	for _, kept := range before.reports {
		switch {
		case hasSameClaim(next, kept.host):
			after.since = kept.since
		case !r.hasExpired(kept):
			after.reports = append(after.reports, kept)
		}
	}
	since := before.since
	if len(before.reports) == 0 {
		since = present.Created
	}
	if len(after.reports) < maxOverwritten {
		after.reports = append(after.reports, overwrittenReport{host: present, since: since, until: now.Add(r.cfg.ReturnWithin)})
	}
	r.overwritten[key] = after
}

// stateInForce returns the state of an entry. If a report that it has replaced has a better claim, that backend server gets no new flows,
// but its open flows go on. Of equal claims to a published service, that of the later run is better, for the copy that the platform was
// restored from may have an earlier one; of equal claims to other services, the one that appeared first.
func (r *Registry) stateInForce(h *pimcatalog.Host) *pimcatalog.Host {
	record := r.overwritten[keyOf(h)]
	best, since := h, record.since
	for _, kept := range record.reports {
		claim, isPreferred := r.compareClaims(kept.host, best), kept.since < since
		if r.isPublished(best) {
			isPreferred = kept.host.StartedAt > best.StartedAt
		}
		if claim < 0 || claim == 0 && isPreferred {
			best, since = kept.host, kept.since
		}
	}
	if best == h {
		return h
	}
	state := *best
	state.Leaving, state.Revision, state.Unlisted, state.GoneAt = true, h.Revision, h.Unlisted, h.GoneAt
	return &state
}

// removeOverwritten forgets reports that were not written again in time. The view must have been confirmed since.
func (r *Registry) removeOverwritten() {
	for key, record := range r.overwritten {
		record.reports = slices.DeleteFunc(record.reports, r.hasExpired)
		if r.overwritten[key] = record; len(record.reports) == 0 {
			delete(r.overwritten, key)
		}
	}
}

func (r *Registry) hasExpired(kept overwrittenReport) bool {
	return kept.until <= pimclock.Instant(r.lastOK.Load())
}

// extendOverwritten gives backend servers whose entries were overwritten more time to write them again, after an outage of the platform.
func (r *Registry) extendOverwritten(deadline pimclock.Instant) {
	r.removeOverwritten()
	for _, record := range r.overwritten {
		for i := range record.reports {
			record.reports[i].until = deadline
		}
	}
}

// OverwrittenState is a report of a backend server that another writer may have overwritten.
type OverwrittenState struct {
	Host pimcatalog.Host `cbor:"1,keyasint"`
	// Since is the revision at which the service of the report first appeared under the name.
	Since pimid.Revision `cbor:"2,keyasint"`
	// ReturnIn is the time within which it must be written again.
	ReturnIn time.Duration `cbor:"3,keyasint"`
}

// overwrittenStates returns the reports that an entry has replaced, for another VM.
func (r *Registry) overwrittenStates(now pimclock.Instant, key entryKey) (since pimid.Revision, states []OverwrittenState) {
	record := r.overwritten[key]
	for _, kept := range record.reports {
		s := OverwrittenState{Host: *kept.host, Since: kept.since, ReturnIn: max(0, kept.until.Sub(now))}
		s.Host.ColdUntil, s.Host.GoneAt = 0, 0
		states = append(states, s)
	}
	return record.since, states
}

// mergeOverwritten takes the reports that an entry has replaced from another VM, or keeps the present one of this VM.
func (r *Registry) mergeOverwritten(now pimclock.Instant, s *HostState) {
	if len(s.Overwritten) == 0 {
		r.recordOverwritten(now, &s.Host)
		return
	}
	record := overwritten{since: s.Since}
	for _, state := range s.Overwritten[:min(len(s.Overwritten), maxOverwritten)] {
		h := state.Host
		h.ID, h.Name = s.Host.ID, s.Host.Name
		until := now.Add(min(state.ReturnIn, r.cfg.ReturnWithin))
		record.reports = append(record.reports, overwrittenReport{host: &h, since: state.Since, until: until})
	}
	r.overwritten[keyOf(&s.Host)] = record
}
