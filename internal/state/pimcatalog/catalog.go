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
	// slowStart holds the requests per second of the services that have a limit during the slow start.
	slowStart        map[Service]float64
	slowStartUnknown bool
}

// NewRouteTable indexes a configuration.
func NewRouteTable(cfg *Config) *RouteTable {
	t := &RouteTable{
		Version: cfg.Version,
		byAddr:  make(map[netip.AddrPort]*Route, len(cfg.Routes)), services: make(map[Service]bool, len(cfg.Services)),
		slowStart: make(map[Service]float64, len(cfg.SlowStart)), slowStartUnknown: cfg.SlowStartUnknown,
	}
	for i := range cfg.Routes {
		t.byAddr[cfg.Routes[i].Address] = &cfg.Routes[i]
	}
	for _, s := range cfg.Services {
		t.services[s] = true
	}
	t.mixed = mixedPriorities(cfg.Routes)
	for _, s := range cfg.SlowStart {
		t.slowStart[s.Service] = s.PerSecond
	}
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
	Routes *RouteTable
	// hosts begins with those of published services.
	hosts     []*Host
	published int
	byTag     map[Tag]*Host
	byService map[Service][]*Host
	// evacuated is sorted.
	evacuated []pimid.DataCentre
}

// NewCatalog indexes the backend servers. If two have the same tag, one of a published service keeps it before one of another service,
// and then the one that was published first; the other one gets no new flows, so that a tag never moves to another backend server
// while flows use it. The data centres that are evacuated follow.
func NewCatalog(revision pimid.Revision, routes *RouteTable, hosts []*Host, evacuated ...pimid.DataCentre) *Catalog {
	c := &Catalog{
		Revision: revision, Routes: routes, hosts: make([]*Host, 0, len(hosts)),
		byTag: make(map[Tag]*Host, len(hosts)), byService: map[Service][]*Host{},
		evacuated: slices.Sorted(slices.Values(evacuated)),
	}
	var others []*Host
	for _, h := range hosts {
		if routes == nil || routes.HasService(h.Service) {
			c.hosts = append(c.hosts, h)
		} else {
			others = append(others, h)
		}
	}
	c.published = len(c.hosts)
	slices.SortFunc(c.hosts, compareCreated)
	slices.SortFunc(others, compareCreated)
	c.hosts = append(c.hosts, others...)
	for i, h := range c.hosts {
		if c.byTag[h.Tag()] != nil {
			continue
		}
		c.byTag[h.Tag()] = h
		if i < c.published {
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

// Hosts returns all backend servers, which the caller must not change. Those of services that are not published get no new flows.
func (c *Catalog) Hosts() []*Host { return c.hosts }

// Published returns the backend servers of published services, or all until a configuration was read; the caller must not change them.
func (c *Catalog) Published() []*Host { return c.hosts[:c.published:c.published] }

// Unpublished returns the backend servers of services that the configuration does not name; the caller must not change them. A
// configuration may have dropped their service while flows are open, or their entries come from another writer.
func (c *Catalog) Unpublished() []*Host { return c.hosts[c.published:] }

// Service returns the backend servers of a published service that own their tags, or of any service until a configuration
// was read; the caller must not change them. Those that are leaving or have ended are included.
func (c *Catalog) Service(s Service) []*Host { return c.byService[s] }

// IsEvacuated reports whether the operator has requested that no new flows are placed in a data centre.
func (c *Catalog) IsEvacuated(dc pimid.DataCentre) bool {
	_, ok := slices.BinarySearch(c.evacuated, dc)
	return ok
}

// Evacuated returns the evacuated data centres, sorted, which the caller must not change.
func (c *Catalog) Evacuated() []pimid.DataCentre { return c.evacuated }

// SlowStart returns the requests per second that a backend server of a service can handle during its slow start; ok is false if the
// service has no limit. If the limits are not known, each service counts as having the lowest one.
func (c *Catalog) SlowStart(s Service) (perSecond float64, ok bool) {
	if c.Routes == nil {
		return 0, false
	}
	perSecond, ok = c.Routes.slowStart[s]
	return perSecond, ok || c.Routes.slowStartUnknown
}

// Ready reports whether a configuration was read.
func (c *Catalog) Ready() bool { return c != nil && c.Routes != nil }
