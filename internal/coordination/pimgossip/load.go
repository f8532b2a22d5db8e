package pimgossip

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Load is what the other VMs of the data centre see of a backend server.
type Load struct {
	// Busy is the mean number of running requests, Open the number of flows.
	Busy, Open float64
	// Misses is the number of flows to which the backend server has not answered.
	Misses int
}

// hundredth is the unit of Busy in a beat.
const hundredth = 0.01

// Loads sums what the running VMs have told.
func (m *Mesh) Loads(now pimclock.Instant) map[pimcatalog.HostID]Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := map[pimcatalog.HostID]Load{}
	for _, p := range m.peers {
		if !m.isRunning(now, p) {
			continue
		}
		for id, told := range p.loads {
			l := loads[id]
			l.Busy += float64(told.Busy) * hundredth
			l.Open += float64(told.Open)
			l.Misses += told.Misses
			loads[id] = l
		}
	}
	return loads
}
