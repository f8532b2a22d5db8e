package pimpick

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Observe records whether an exchange with the host succeeded. Consecutive failures eject the host for an exponentially
// growing time, unless more than half of the hosts of the service would then be ejected or failed.
func (t *Hosts) Observe(now pimclock.Instant, id pimid.BackendID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[id]
	switch {
	case h == nil:
	case ok:
		h.failures, h.ejections, h.ejectedUntil = 0, 0, 0
	default:
		t.fail(now, h)
	}
}

func (t *Hosts) fail(now pimclock.Instant, h *host) {
	h.failures++
	// After an ejection, the next failure ejects the host again at once, for twice the time.
	if h.failures < t.cfg.FailuresToEject && h.ejections == 0 || h.ejected(now) {
		return
	}
	if !t.services[h.Service].mayEject(now) {
		return
	}
	const maxDoublings = 16
	h.ejectedUntil = now.Add(min(t.cfg.EjectBase<<min(h.ejections, maxDoublings), t.cfg.EjectMax))
	// The host returns with a slow start, so that few flows are lost if it still fails.
	h.cold, h.coldSince = true, h.ejectedUntil
	h.ejections++
	h.failures = 0
}

// mayEject reports whether at least half of the hosts of the service stay in use if one more is ejected.
func (g *group) mayEject(now pimclock.Instant) bool {
	excluded := 0
	for _, h := range g.hosts {
		if h.ejected(now) || h.failed {
			excluded++
		}
	}
	return 2*(excluded+1) <= len(g.hosts)
}
