package pimentry

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// observer combines what this VM has observed of the backend servers with the reports of the other VMs; it implements
// pimplace.Observer.
type observer struct {
	table *pimflow.Table
	// peerLoads holds the loads that the other VMs have reported; it is replaced every reportInterval.
	peerLoads map[pimcatalog.HostID]pimgossip.Load
}

// Load returns the load of a backend server; zero if nothing is known.
func (o *observer) Load(now pimclock.Instant, id pimcatalog.HostID) pimplace.Load {
	reported := o.peerLoads[id]
	return pimplace.Load{
		Load: o.table.Load(now, id), BusyElsewhere: reported.Busy, OpenElsewhere: reported.Open,
		AliveElsewhere: reported.AliveAt,
	}
}

// Tried returns the last two backend servers that have not answered the opening packet of a flow; zero means none.
func (o *observer) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) { return o.table.Tried(f) }
