package pimregistry

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// endedHostRetention is how long an ended backend server stays in the catalog, so that packets of its flows are answered with a
// reset instead of silence. No flow lives longer.
const endedHostRetention = 90 * time.Second

// remove decides what the end of an entry means. A backend server that was leaving has left. Another one has been
// silent; if the platform was out of reach recently, the entry may only have lapsed and come back.
func (r *Registry) remove(now pimclock.Instant, c Change) {
	old := r.hosts[c.ID]
	if old == nil {
		r.removed[c.ID] = c.Revision
		return
	}
	h := *old
	h.Unlisted, h.Revision, h.GoneAt = true, c.Revision, now
	decision := Ended
	if deadline := r.reachability.returnDeadline(now, r.cfg.ReturnWithin); !old.Leaving && now.Before(deadline) {
		h.GoneAt, decision = deadline, Lapsed
	}
	r.hosts[c.ID] = &h
	c.Host = &h
	r.notify(c, decision)
	r.forgetEnded(now)
}

// forgetEnded drops backend servers whose flows have all ended.
func (r *Registry) forgetEnded(now pimclock.Instant) {
	for id, h := range r.hosts {
		if h.Unlisted && now.Sub(h.GoneAt) > endedHostRetention {
			r.removed[id] = h.Revision
			delete(r.hosts, id)
		}
	}
}
