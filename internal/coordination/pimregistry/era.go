package pimregistry

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// isNewEra reports whether a complete list or delta is from a later era than the view: the platform was restored from an
// older copy.
func (r *Registry) isNewEra(revision pimid.Revision) bool {
	return r.revision > 0 && revision.Era() > r.revision.Era()
}

// beginEra counts the begin of a new era as the end of an outage: backend servers whose entries are missing from the copy
// publish them again.
func (r *Registry) beginEra(now pimclock.Instant) {
	r.endOutage(now)
}

// isReportOutdated reports whether a later state holds an older report of a backend server than the known state, the last change of whose
// entry was in an era. The copy that the platform was restored from may hold one, and so may the end of an entry, for which a VM has its
// last known report. Otherwise, the revisions of an era order the reports.
func isReportOutdated(h, known *pimcatalog.Host, era pimid.Era) bool {
	if h.Revision.Era() == era && !h.Unlisted {
		return false
	}
	if h.StartedAt != known.StartedAt {
		return h.StartedAt < known.StartedAt
	}
	return h.Sequence < known.Sequence
}

// keepReport keeps the known report of a backend server at the revision of h, and returns true, if that of h is outdated. Reports with
// different claims may be of different writers, whose starts say nothing about each other.
func (r *Registry) keepReport(now pimclock.Instant, h *pimcatalog.Host) bool {
	old := r.entries.get(keyOf(h))
	known := r.lastReport(old, h)
	if known == nil || !isReportOutdated(h, known, old.Revision.Era()) {
		return false
	}
	kept := *known
	kept.Revision, kept.Created, kept.Unlisted, kept.GoneAt = h.Revision, h.Created, old.Unlisted, old.GoneAt
	if h.Unlisted && !old.Unlisted {
		kept.Unlisted, kept.GoneAt = true, h.GoneAt
	}
	r.recordOverwritten(now, &kept)
	r.entries.put(&kept)
	return true
}

// lastReport returns the last known report with the claim of h: the present one, or one that it has replaced. It may be nil.
func (r *Registry) lastReport(present, h *pimcatalog.Host) *pimcatalog.Host {
	if present == nil || hasSameClaim(present, h) {
		return present
	}
	for _, kept := range r.overwritten[keyOf(h)].reports {
		if hasSameClaim(kept.host, h) {
			return kept.host
		}
	}
	return nil
}
