package pimregistry

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// isLaterOwner reports whether a backend server took over the address of another one, which has ended then. Its entry must have
// appeared later, and it must have started later: an earlier run of the same machine may write its entry once more after the
// next run has published its own. Across eras, only the start counts, since the entries of the copy appear anew.
func isLaterOwner(h, other *pimcatalog.Host) bool {
	isSameEra := h.Created.Era() == other.Created.Era()
	switch {
	case isSameEra && h.Created <= other.Created:
		return false
	case h.StartedAt == 0 || other.StartedAt == 0 || h.StartedAt == other.StartedAt:
		return isSameEra
	default:
		return h.StartedAt > other.StartedAt
	}
}

// isSuperseded reports whether a backend server has ended because its address has another owner.
func isSuperseded(h *pimcatalog.Host) bool { return h.Unlisted && h.GoneAt == 0 }

// supersede ends a backend server whose address has another owner.
func (r *Registry) supersede(h *pimcatalog.Host, revision pimid.Revision) {
	if isSuperseded(h) {
		return
	}
	gone := *h
	gone.Unlisted, gone.GoneAt = true, 0
	r.hosts[h.ID] = &gone
	r.notify(Change{ID: h.ID, Host: &gone, Revision: revision}, Superseded)
}
