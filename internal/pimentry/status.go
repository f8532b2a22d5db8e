package pimentry

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Status is the state of a VM as GET /status of the operator server returns it.
type Status struct {
	Name       string           `json:"name"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	Ready      bool             `json:"ready"`
	// Era and Revision are those of the view; Revision is the number that the platform gave in its era.
	Era      pimid.Era          `json:"era"`
	Revision uint64             `json:"revision"`
	Version  pimcatalog.Version `json:"config_version"`
	// ViewAgeMs is the time since the view was confirmed as current.
	ViewAgeMs int64 `json:"view_age_ms"`
	UptimeMs  int64 `json:"uptime_ms"`
	Routes    int   `json:"routes"`
	// Reader is set if this VM reads the platform for its data centre.
	Reader bool `json:"reader"`
	// Evacuated are the data centres that get no new flows at the request of the operator.
	Evacuated []pimid.DataCentre `json:"evacuated"`
	// Peers are the names of the other running VMs of the data centre.
	Peers []string `json:"peers"`
	// SlowStart are the names of the backend servers in slow start to which only this VM sends new flows; nil if there is no limit.
	SlowStart []string     `json:"slow_start,omitempty"`
	Hosts     []HostStatus `json:"hosts"`
	// Unpublished are those whose service the configuration does not name: only their open flows go on.
	Unpublished []HostStatus `json:"unpublished_hosts,omitempty"`
	// Admission lists the services with routes of different priorities that have had new flows since the last change of the view.
	Admission []AdmissionStatus `json:"admission,omitempty"`
}

// AdmissionStatus is the share of a VM in the backend servers of one service.
type AdmissionStatus struct {
	Service pimcatalog.Service `json:"service"`
	// Places is the number of requests that the VM may have under way at the backend servers of its share, Filled that which it has.
	Places float64 `json:"places"`
	Filled int     `json:"filled"`
}

// HostStatus is the state of one backend server as a VM knows it.
type HostStatus struct {
	Name       string             `json:"name"`
	Tag        pimcatalog.Tag     `json:"tag"`
	Service    pimcatalog.Service `json:"service"`
	Address    string             `json:"address"`
	DataCentre pimid.DataCentre   `json:"data_centre"`
	Leaving    bool               `json:"leaving"`
	// Gone is set if the backend server counts as ended.
	Gone bool `json:"gone"`
	// ColdMs is the rest of the slow start.
	ColdMs int64 `json:"cold_ms"`
}

// Status returns the current state of the VM.
func (n *Node) Status() Status {
	now, c := n.clock.Now(), n.registry.Catalog()
	s := Status{
		Name: n.cfg.Node.Name, DataCentre: n.cfg.Node.DataCentre, Ready: n.isReady(), Era: c.Revision.Era(), Revision: c.Revision.Number(),
		ViewAgeMs: n.registry.Age(now).Milliseconds(), UptimeMs: now.Sub(n.started).Milliseconds(),
		Evacuated: c.Evacuated(), Reader: n.mesh.gossip.IsReader(), Peers: n.mesh.gossip.Names(now),
	}
	if c.Ready() {
		s.Version, s.Routes = c.Routes.Version, c.Routes.Len()
	}
	s.SlowStart = n.edge.slowStart.owned(now, c)
	s.Hosts, s.Unpublished = hostStatuses(now, c.Published()), hostStatuses(now, c.Unpublished())
	if shares := n.edge.shares.Load(); shares != nil {
		for _, share := range *shares {
			s.Admission = append(s.Admission, AdmissionStatus{Service: share.Service, Places: float64(share.Places), Filled: share.Filled})
		}
	}
	return s
}

func hostStatuses(now pimclock.Instant, hosts []*pimcatalog.Host) (statuses []HostStatus) {
	for _, h := range hosts {
		statuses = append(statuses, HostStatus{
			Name: h.Name, Tag: h.Tag(), Service: h.Service, Address: h.Address.String(), DataCentre: h.DataCentre,
			Leaving: h.Leaving, Gone: h.Gone(now), ColdMs: h.ColdFor(now).Milliseconds(),
		})
	}
	return statuses
}
