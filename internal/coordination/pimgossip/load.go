package pimgossip

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Load is what the other VMs of the data centre see of a backend server.
type Load struct {
	// Busy is the mean number of running requests, Open the number of flows.
	Busy, Open float64
	// AliveAt is the last sign of life.
	AliveAt pimclock.Instant
}

// hundredth is the unit of Busy in a beat.
const busyUnit = 0.01

// Loads sums what the running VMs have told lately. In a large data centre, a VM hears from a part of them only; their
// sum stands for all.
func (m *Mesh) Loads(now pimclock.Instant) map[pimcatalog.HostID]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := map[pimcatalog.HostID]Load{}
	running, recent := 0, 0
	for _, p := range m.peers {
		if !m.isRunning(now, p) {
			continue
		}
		running++
		if now.Sub(p.heardAt) > m.cfg.LoadTTL {
			continue
		}
		recent++
		for id, reported := range p.loads {
			l := loads[id]
			l.Busy += float64(reported.Busy) * busyUnit
			l.Open += float64(reported.Open)
			l.AliveAt = max(l.AliveAt, p.heardAt.Add(-reported.SilentFor-transitAllowance))
			loads[id] = l
		}
	}
	if recent == 0 || recent == running {
		return loads
	}
	scale := float64(running) / float64(recent)
	for id, l := range loads {
		l.Busy *= scale
		l.Open *= scale
		loads[id] = l
	}
	return loads
}
