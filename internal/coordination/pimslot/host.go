package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// host is one owned backend server with the slots that this owner knows to be occupied.
type host struct {
	Host
	// removed marks a host that this VM no longer owns; it is deleted when its last request ends.
	removed  bool
	inFlight int
	// inherited counts slots that a previous owner granted; shed counts slots that are out of use after a 503.
	inherited, shed           int
	inheritedUntil, shedUntil pimclock.Instant
	// warm reports that the host needs no slow start or that it has ended; coldSince is the start of the slow start.
	coldSince pimclock.Instant
	warm      bool
	lastGrant GrantID
	health    health
}

func newHost(now pimclock.Instant, h Host, cfg *Config) *host {
	n := &host{Host: h, warm: !h.Cold, coldSince: now}
	n.inherited = min(max(h.InFlight, 0), int(h.Slots))
	n.inheritedUntil = now.Add(cfg.InheritedHold)
	return n
}

// update applies a new description; a new generation means that the host has restarted, so it starts cold.
func (h *host) update(now pimclock.Instant, d Host, cfg *Config) {
	if d.Generation != h.Generation {
		inFlight := h.inFlight
		*h = *newHost(now, d, cfg)
		h.inFlight = inFlight
		h.warm = false
		return
	}
	if d.Cold && h.warm && !h.Cold {
		h.warm, h.coldSince = false, now
	}
	h.Host, h.removed = d, false
}

// usable reports whether the host may receive new work.
func (h *host) usable(now pimclock.Instant) bool {
	return !h.removed && !h.Draining && !h.health.ejected(now)
}

// capacity returns the number of slots that may be in use at once; a cold host starts with one slot and gains the others
// linearly over SlowStart, and a host that has been ejected has one slot until a request succeeds.
func (h *host) capacity(now pimclock.Instant, cfg *Config) int {
	if !h.usable(now) {
		return 0
	}
	slots := int(h.Slots)
	if h.health.probing {
		return min(1, slots)
	}
	if h.warm {
		return slots
	}
	age := now.Sub(h.coldSince)
	if age >= cfg.SlowStart {
		h.warm = true
		return slots
	}
	return max(1, int(float64(slots)*float64(age)/float64(cfg.SlowStart)))
}

// free returns the number of slots that can be granted now.
func (h *host) free(now pimclock.Instant, cfg *Config) int {
	if h.inherited > 0 && !now.Before(h.inheritedUntil) {
		h.inherited = 0
	}
	if h.shed > 0 && !now.Before(h.shedUntil) {
		h.shed = 0
	}
	return h.capacity(now, cfg) - h.inFlight - h.inherited - h.shed
}

// observeLoad lowers the inherited slots to the number of running requests that the host reports beyond those of this
// owner; a report never adds occupied slots, because load endpoints may lag or be wrong.
func (h *host) observeLoad(reported int) {
	h.inherited = min(h.inherited, max(reported-h.inFlight, 0))
}

// occupy takes one more slot out of use for the given time after a 503; all such slots return together, at the latest of
// their times.
func (h *host) occupy(now pimclock.Instant, d time.Duration) {
	h.shed = min(h.shed+1, int(h.Slots))
	h.shedUntil = max(h.shedUntil, now.Add(d))
}

func excluded(id pimid.BackendID, list []pimid.BackendID) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}
