package pimcatalog

import (
	"net/netip"
	"slices"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// RouteTable maps published addresses to routes; it is built once for each configuration.
type RouteTable struct {
	Version Version
	byAddr  map[netip.AddrPort]*Route
	// services holds the names of the published services.
	services map[Service]bool
	// mixed holds the services with routes of different priorities.
	mixed map[Service]bool
}

// NewRouteTable indexes a configuration.
func NewRouteTable(cfg *Config) *RouteTable {
	t := &RouteTable{
		Version: cfg.Version,
		byAddr:  make(map[netip.AddrPort]*Route, len(cfg.Routes)), services: make(map[Service]bool, len(cfg.Services)),
	}
	for i := range cfg.Routes {
		t.byAddr[cfg.Routes[i].Address] = &cfg.Routes[i]
	}
	for _, s := range cfg.Services {
		t.services[s] = true
	}
	t.mixed = mixedPriorities(cfg.Routes)
	return t
}

// mixedPriorities returns the services with routes of different priorities.
func mixedPriorities(routes []Route) map[Service]bool {
	mixed, first := map[Service]bool{}, map[Service]Priority{}
	for i := range routes {
		for _, share := range routes[i].Shares {
			before, ok := first[share.Service]
			switch {
			case !ok:
				first[share.Service] = routes[i].Priority
			case before != routes[i].Priority:
				mixed[share.Service] = true
			}
		}
	}
	return mixed
}

// HasPriorities reports whether the routes of a service have different priorities; it is false until a configuration was read.
func (t *RouteTable) HasPriorities(s Service) bool { return t != nil && t.mixed[s] }

// Route returns the route of an address, or nil.
func (t *RouteTable) Route(address netip.AddrPort) *Route { return t.byAddr[address] }

// HasService reports whether the configuration names a service.
func (t *RouteTable) HasService(s Service) bool { return t.services[s] }

// Len returns the number of routes.
func (t *RouteTable) Len() int { return len(t.byAddr) }

// Catalog holds the routes and backend servers at one revision; it is immutable.
type Catalog struct {
	Revision pimid.Revision
	// Routes is nil until a configuration was read.
	Routes    *RouteTable
	hosts     []*Host
	byTag     map[Tag]*Host
	byService map[Service][]*Host
}

// NewCatalog indexes the backend servers. If two have the same tag, the one that was published first keeps it and the
// other one gets no new flows, so that a tag never moves to another backend server while flows use it.
func NewCatalog(revision pimid.Revision, routes *RouteTable, hosts []*Host) *Catalog {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, compareCreated)
	c := &Catalog{
		Revision: revision, Routes: routes, hosts: hosts,
		byTag: make(map[Tag]*Host, len(hosts)), byService: map[Service][]*Host{},
	}
	for _, h := range hosts {
		if c.byTag[h.Tag()] != nil {
			continue
		}
		c.byTag[h.Tag()] = h
		if routes == nil || routes.HasService(h.Service) {
			c.byService[h.Service] = append(c.byService[h.Service], h)
		}
	}
	return c
}

// compareCreated orders backend servers by the revision of their first appearance, then by id.
func compareCreated(a, b *Host) int {
	switch {
	case a.Created != b.Created && a.Created < b.Created:
		return -1
	case a.Created != b.Created:
		return 1
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	default:
		return 0
	}
}

// Host returns the backend server with a tag, or nil.
func (c *Catalog) Host(t Tag) *Host { return c.byTag[t] }

// Hosts returns all backend servers, which the caller must not change.
func (c *Catalog) Hosts() []*Host { return c.hosts }

// Service returns the backend servers of a published service that own their tags, or of any service until a configuration
// was read; the caller must not change them. Those that are leaving or have ended are included.
func (c *Catalog) Service(s Service) []*Host { return c.byService[s] }

// Ready reports whether a configuration was read.
func (c *Catalog) Ready() bool { return c != nil && c.Routes != nil }
