package pimentry

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
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
	// Rank is the number of VMs that read the platform rather than this one.
	Rank  int          `json:"reader_rank"`
	Peers []string     `json:"peers"`
	Hosts []HostStatus `json:"hosts"`
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
		Rank: n.mesh.gossip.Rank(now), Peers: n.mesh.gossip.Names(now),
	}
	if c.Ready() {
		s.Version, s.Routes = c.Routes.Version, c.Routes.Len()
	}
	for _, h := range c.Hosts() {
		s.Hosts = append(s.Hosts, HostStatus{
			Name: h.Name, Tag: h.Tag(), Service: h.Service, Address: h.Address.String(), DataCentre: h.DataCentre,
			Leaving: h.Leaving, Gone: h.Gone(now), ColdMs: h.Cold(now).Milliseconds(),
		})
	}
	return s
}

// logDecision logs what the registry did with one published change.
func (n *Node) logDecision(c pimregistry.Change, d pimregistry.Decision) {
	level := n.log.Info()
	if d == pimregistry.Unreadable {
		level = n.log.Warn().Err(c.Fault)
	}
	event := level.Str("decision", string(d)).Uint64("revision", uint64(c.Revision))
	if c.Config != nil {
		event.Uint64("version", uint64(c.Config.Version)).Int("routes", len(c.Config.Routes)).Msg("configuration")
		return
	}
	if c.Host != nil {
		event.Str("host", c.Host.Name).Bool("leaving", c.Host.Leaving)
	}
	event.Bool("removed", c.Removed).Msg("backend server")
}
