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

// isReportOutdated reports whether a later state holds an older report of a backend server than the known state. The copy that
// the platform was restored from may hold one, and so may the end of an entry, for which a VM has its last known report.
// Otherwise, the revisions of an era order the reports.
func isReportOutdated(h, known *pimcatalog.Host) bool {
	if h.Revision.Era() == known.Revision.Era() && !h.Unlisted {
		return false
	}
	if h.StartedAt != known.StartedAt {
		return h.StartedAt < known.StartedAt
	}
	return h.Sequence < known.Sequence
}

// keepReport keeps the known report of a backend server at the revision of h, and returns true, if that of h is outdated.
func (r *Registry) keepReport(h *pimcatalog.Host) bool {
	old := r.entries.get(keyOf(h))
	if old == nil || !isReportOutdated(h, old) {
		return false
	}
	kept := *old
	kept.Revision, kept.Created = h.Revision, h.Created
	if h.Unlisted && !old.Unlisted {
		kept.Unlisted, kept.GoneAt = true, h.GoneAt
	}
	r.entries.put(&kept)
	return true
}
