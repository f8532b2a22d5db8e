package pimregistry

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// endedHostRetention is how long an ended backend server stays in the catalog, so that packets of its flows are
// answered with a reset instead of being dropped. No flow lives longer.
const endedHostRetention = 90 * time.Second

// remove handles the end of an entry. A backend server that was leaving has ended. Any other one has stopped renewing
// its entry: it has ended too, unless the platform was unreachable recently. Then the entry may only have lapsed, and
// the backend server counts as ended only if it does not return by the deadline.
func (r *Registry) remove(now pimclock.Instant, c Change) {
	r.removeHost(now, c, false)
}

// removeHost handles the end of an entry. With mayReturn, a backend server that was leaving may return too: the copy that
// the platform was restored from may be older than its entry.
func (r *Registry) removeHost(now pimclock.Instant, c Change, mayReturn bool) {
	key := r.resolve(now, &c)
	old := r.entries.get(key)
	if old == nil {
		r.removed[key] = c.Revision
		return
	}
	h := *old
	h.Revision = c.Revision
	decision := Ended
	deadline := r.reachability.returnDeadline(now, r.cfg.ReturnWithin)
	switch {
	case old.Unlisted:
		// It has ended or lapsed before.
		decision = Outdated
	case now.Before(deadline) && (mayReturn || !old.Leaving):
		h.Unlisted, h.GoneAt, decision = true, deadline, Lapsed
		r.lapsed[key] = deadline
	default:
		h.Unlisted, h.GoneAt = true, now
	}
	r.entries.put(&h)
	c.Host = &h
	r.notify(c, decision)
}

// removeEnded removes backend servers that ended more than endedHostRetention ago, so that all their flows are over.
func (r *Registry) removeEnded(now pimclock.Instant) {
	var ended []*pimcatalog.Host
	for h := range r.entries.all() {
		if h.Unlisted && now.Sub(h.GoneAt) > endedHostRetention {
			ended = append(ended, h)
		}
	}
	for _, h := range ended {
		r.removed[keyOf(h)] = h.Revision
		r.entries.remove(keyOf(h))
		delete(r.overwritten, keyOf(h))
	}
}
