package pimgossip

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Load is what the other VMs of the data centre see of a backend server.
type Load struct {
	// Busy is the mean number of running requests, Open the number of flows.
	Busy float64
	Open float64
	// Suspects is the number of VMs to which the backend server does not answer.
	Suspects int
}

// hundredth is the unit of Busy in a beat.
const hundredth = 0.01

// Load sums what the running VMs have told.
func (m *Mesh) Load(now pimclock.Instant, id pimcatalog.HostID) (l Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		told, ok := p.loads[id]
		if !ok || !m.isRunning(now, p) {
			continue
		}
		l.Busy += float64(told.Busy) * hundredth
		l.Open += float64(told.Open)
		if told.Suspect {
			l.Suspects++
		}
	}
	return l
}
