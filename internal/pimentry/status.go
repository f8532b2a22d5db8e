package pimentry

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Status is what a VM believes.
type Status struct {
	Name       string             `json:"name"`
	DataCentre pimid.DataCentre   `json:"data_centre"`
	Ready      bool               `json:"ready"`
	Revision   pimid.Revision     `json:"revision"`
	Version    pimcatalog.Version `json:"config_version"`
	ViewAgeMs  int64              `json:"view_age_ms"`
	UptimeMs   int64              `json:"uptime_ms"`
	Routes     int                `json:"routes"`
	// Reader is set if this VM reads the platform for its data centre.
	Reader bool         `json:"reader"`
	Peers  []string     `json:"peers"`
	Hosts  []HostStatus `json:"hosts"`
}

// HostStatus is what a VM believes of one backend server.
type HostStatus struct {
	Name       string             `json:"name"`
	Tag        pimcatalog.Tag     `json:"tag"`
	Service    pimcatalog.Service `json:"service"`
	Address    string             `json:"address"`
	DataCentre pimid.DataCentre   `json:"data_centre"`
	Leaving    bool               `json:"leaving"`
	Gone       bool               `json:"gone"`
	ColdMs     int64              `json:"cold_ms"`
}

// Status returns what the VM believes now.
func (n *Node) Status() Status {
	now, c := n.clock.Now(), n.registry.Catalog()
	s := Status{
		Name: n.cfg.Node.Name, DataCentre: n.cfg.Node.DataCentre, Ready: n.isReady(), Revision: c.Revision,
		ViewAgeMs: n.registry.Age(now).Milliseconds(), UptimeMs: now.Sub(n.started).Milliseconds(),
		Reader: n.mesh.gossip.IsReader(), Peers: n.mesh.gossip.Names(now),
	}
	if c.Ready() {
		s.Version, s.Routes = c.Routes.Version, c.Routes.Len()
	}
	for _, h := range c.Hosts() {
		s.Hosts = append(s.Hosts, HostStatus{
			Name: h.Name, Tag: h.Tag(), Service: h.Service, Address: h.Address.String(), DataCentre: h.DataCentre,
			Leaving: h.Leaving, Gone: h.Gone(now), ColdMs: h.ColdFor(now).Milliseconds(),
		})
	}
	return s
}
