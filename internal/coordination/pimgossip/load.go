package pimgossip

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Load is the load of a backend server as reported by the other VMs of the data centre.
type Load struct {
	// Busy is the mean number of running requests, Open the number of open flows.
	Busy, Open float64
	// AliveAt is the time of the last sign of life, which is evidence that the backend server answers.
	AliveAt pimclock.Instant
}

// busyUnit is the unit of HostLoad.Busy in a heartbeat: hundredths of a request.
const busyUnit = 0.01

// Loads sums the loads that running VMs reported within Settings.LoadTTL. In a large data centre only some of the VMs
// have reported that recently, so their sum is scaled up to all running VMs.
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
		if now.Sub(p.receivedAt) > m.cfg.LoadTTL {
			continue
		}
		recent++
		for id, reported := range p.loads {
			l := loads[id]
			l.Busy += float64(reported.Busy) * busyUnit
			l.Open += float64(reported.Open)
			l.AliveAt = max(l.AliveAt, p.receivedAt.Add(-reported.SilentFor-transitAllowance))
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
