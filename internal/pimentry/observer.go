package pimentry

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// observer joins what this VM sees with what the others tell; it implements pimplace.Observer.
type observer struct {
	table *pimflow.Table
	// peerLoads is what the others have told; it is replaced now and then.
	peerLoads map[pimcatalog.HostID]pimgossip.Load
}

// Load returns what is known of a backend server.
func (o *observer) Load(now pimclock.Instant, id pimcatalog.HostID) pimplace.Load {
	reported := o.peerLoads[id]
	return pimplace.Load{
		Load: o.table.Load(now, id), BusyElsewhere: reported.Busy, OpenElsewhere: reported.Open,
		AliveElsewhere: reported.AliveAt,
	}
}

// Tried returns the backend servers that have not answered the flow.
func (o *observer) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) { return o.table.Tried(f) }
