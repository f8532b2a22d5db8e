package pimentry

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// observer returns what this VM has observed of the backend servers together with the reports of the other VMs, which its
// table holds as well; it implements pimplace.Observer.
type observer struct {
	table *pimflow.Table
	// remote holds the loads of other data centres; it is replaced every reportInterval.
	remote map[pimgossip.RemoteService]pimgossip.RemoteLoad
}

// Remote returns the mean requests under way per slot of a service in another data centre; ok is unset if no recent summary of
// that data centre is known.
func (o *observer) Remote(dc pimid.DataCentre, service pimcatalog.Service) (perSlot float64, ok bool) {
	l, ok := o.remote[pimgossip.RemoteService{DataCentre: dc, Service: service}]
	return l.Busy, ok
}

// Work returns the mean time of a request of a route as learned from its answers.
func (o *observer) Work(route netip.AddrPort) (d time.Duration, ok bool) { return o.table.Work(route) }

// Load returns the load of a backend server; zero if nothing is known.
func (o *observer) Load(now pimclock.Instant, id pimcatalog.HostID) pimplace.Load {
	return pimplace.LoadOf(now, o.table, id)
}

// setPeerLoads takes over the loads that the other VMs have reported.
func (o *observer) setPeerLoads(now pimclock.Instant, loads map[pimcatalog.HostID]pimgossip.Load) {
	o.table.SetElsewhere(now, func(yield func(pimcatalog.HostID, pimflow.Elsewhere) bool) {
		for id, l := range loads {
			if !yield(id, pimflow.Elsewhere(l)) {
				return
			}
		}
	})
}

// Tried returns the last two backend servers that have not answered the opening packet of a flow; zero means none.
func (o *observer) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) { return o.table.Tried(f) }
