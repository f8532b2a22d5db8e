package pimregistry

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings hold the times of the beliefs.
type Settings struct {
	// FreshFor is the age up to which a view counts as current.
	FreshFor time.Duration
	// ReturnWithin is how long after an outage entries that lapsed meanwhile may still return.
	ReturnWithin time.Duration
	// PartSize is the number of entries in a part of what one VM tells another one.
	PartSize int
}

// DefaultSettings returns the times for changes that have to be in force within the given time.
func DefaultSettings(inForceWithin time.Duration) Settings {
	return Settings{
		FreshFor: inForceWithin,
		// Backend servers renew lapsed entries within 2 s of the end of an outage; the rest is the delay of the watch.
		ReturnWithin: 2500 * time.Millisecond,
		// About 25 KB: the queue of a socket holds three times as much, and a link of 10 Mbit/s takes 20 ms.
		PartSize: 200,
	}
}

// Listener learns what the registry decided about one change.
type Listener func(c Change, decision Decision)

// Decision says what a registry did with a change.
type Decision string

// The decisions.
const (
	Applied Decision = "applied"
	// Listed is Applied for the entries of the first list.
	Listed     Decision = "listed"
	Outdated   Decision = "outdated"
	Unreadable Decision = "unreadable"
	Lapsed     Decision = "lapsed"
	Ended      Decision = "ended"
	Superseded Decision = "superseded"
	Relayed    Decision = "relayed"
)

// Registry holds what a VM believes; it is safe for concurrent use.
type Registry struct {
	cfg    Settings
	clock  pimclock.Clock
	notify Listener

	mu       sync.Mutex
	revision pimid.Revision
	// base is the revision of the last complete list: what came and went before it is not known.
	base pimid.Revision
	// isPartial is set while the later parts of what another VM tells are missing: entries that changed before and after
	// the revision are old then.
	isPartial bool
	// configRevision is the revision of the configuration in force.
	configRevision pimid.Revision
	routes         *pimcatalog.RouteTable
	config         *pimcatalog.Config
	// routeRevisions holds the last change of each route, droppedRoutes that of each route that was removed.
	routeRevisions, droppedRoutes map[netip.AddrPort]pimid.Revision
	hosts                         map[pimcatalog.HostID]*pimcatalog.Host
	// removed holds the revision at which an entry disappeared, so that a late copy does not bring it back.
	removed      map[pimcatalog.HostID]pimid.Revision
	reachability reachability
	// isFirstList is set while the first list is taken.
	isFirstList bool

	catalog atomic.Pointer[pimcatalog.Catalog]
	lastOK  atomic.Int64
}

// New returns an empty registry. The listener is called with the registry locked.
func New(cfg Settings, clock pimclock.Clock, notify Listener) *Registry {
	if notify == nil {
		notify = func(Change, Decision) {}
	}
	r := &Registry{
		cfg: cfg, clock: clock, notify: notify,
		hosts:   map[pimcatalog.HostID]*pimcatalog.Host{},
		removed: map[pimcatalog.HostID]pimid.Revision{},

		routeRevisions: map[netip.AddrPort]pimid.Revision{}, droppedRoutes: map[netip.AddrPort]pimid.Revision{},
	}
	r.lastOK.Store(int64(never))
	r.catalog.Store(pimcatalog.NewCatalog(0, nil, nil))
	return r
}

// Catalog returns the current catalog.
func (r *Registry) Catalog() *pimcatalog.Catalog { return r.catalog.Load() }

// Revision returns the revision up to which all changes are known; zero means that nothing was read.
func (r *Registry) Revision() pimid.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Apply takes a batch of a watch; the error is ErrStale if the platform went back.
func (r *Registry) Apply(b Batch) (err error) {
	defer func() { err = oops.In("pimregistry").Wrapf(err, "apply changes up to revision %d", b.To) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.To < b.From {
		return ErrStale
	}
	if b.To <= r.revision {
		// Another VM has told the same changes meanwhile.
		return nil
	}
	now := r.clock.Now()
	for _, c := range b.Changes {
		r.applyChange(now, c)
	}
	r.revision, r.isPartial = b.To, false
	r.publish()
	return nil
}

// Restore takes a complete list. Entries that are missing from it count as removed; nothing goes back to an older
// revision. The error is ErrStale if the list is older than what is known.
func (r *Registry) Restore(s Snapshot) (err error) {
	defer func() { err = oops.In("pimregistry").Wrapf(err, "restore revision %d", s.Revision) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision < r.revision {
		return ErrStale
	}
	now := r.clock.Now()
	listed := make(map[pimcatalog.HostID]bool, len(s.Changes))
	r.isFirstList = r.revision == 0
	for _, c := range s.Changes {
		listed[c.ID] = true
		r.applyChange(now, c)
	}
	r.isFirstList = false
	r.removeMissing(now, listed, s.Revision)
	r.base, r.revision, r.isPartial = s.Revision, s.Revision, false
	r.publish()
	return nil
}

func (r *Registry) applyChange(now pimclock.Instant, c Change) {
	switch {
	case c.Config != nil:
		r.applyConfig(c)
	case c.ID == 0:
		if c.Fault != nil {
			r.notify(c, Unreadable)
		}
	case c.Revision <= r.lastChange(c.ID):
		r.notify(c, Outdated)
	case c.Removed:
		r.remove(now, c)
	case c.Host == nil:
		r.handleUnreadable(c)
	default:
		r.putHost(now, c)
	}
}

// lastChange returns the revision of the last change of an entry.
func (r *Registry) lastChange(id pimcatalog.HostID) pimid.Revision {
	if h := r.hosts[id]; h != nil {
		return h.Revision
	}
	return r.removed[id]
}

// applyConfig takes a configuration with a higher version only: an entry that was rewound must not undo a later one.
func (r *Registry) applyConfig(c Change) {
	if c.Revision <= r.configRevision || r.config != nil && c.Config.Version <= r.config.Version {
		r.notify(c, Outdated)
		return
	}
	r.recordRouteChanges(c)
	r.configRevision, r.config = c.Revision, c.Config
	r.routes = pimcatalog.NewRouteTable(c.Config)
	r.notify(c, Applied)
}

// recordRouteChanges notes which routes a new configuration changes and drops.
func (r *Registry) recordRouteChanges(c Change) {
	old := make(map[netip.AddrPort]*pimcatalog.Route, len(r.routeRevisions))
	if r.config != nil {
		for i := range r.config.Routes {
			old[r.config.Routes[i].Address] = &r.config.Routes[i]
		}
	}
	for i := range c.Config.Routes {
		route := &c.Config.Routes[i]
		if before := old[route.Address]; before == nil || !before.Equal(route) {
			r.routeRevisions[route.Address] = c.Revision
		}
		delete(old, route.Address)
		delete(r.droppedRoutes, route.Address)
	}
	for address := range old {
		delete(r.routeRevisions, address)
		r.droppedRoutes[address] = c.Revision
	}
}

// putHost takes a new entry; an older entry with the same address belongs to a backend server that no longer exists.
func (r *Registry) putHost(now pimclock.Instant, c Change) {
	h := *c.Host
	h.ColdUntil = now.Add(h.Warmup)
	h.Revision, h.Created = c.Revision, c.Created
	for id, other := range r.hosts {
		if id != h.ID && other.Address == h.Address && other.Created < h.Created && !other.Gone(never) {
			gone := *other
			gone.Unlisted, gone.GoneAt = true, 0
			r.hosts[id] = &gone
			r.notify(Change{ID: id, Host: &gone, Revision: c.Revision}, Superseded)
		}
	}
	delete(r.removed, h.ID)
	r.hosts[h.ID] = &h
	if r.isFirstList {
		r.notify(c, Listed)
		return
	}
	r.notify(c, Applied)
}

// handleUnreadable takes the backend server of an unreadable entry out of use for new flows.
func (r *Registry) handleUnreadable(c Change) {
	if old := r.hosts[c.ID]; old != nil {
		h := *old
		h.Leaving, h.Revision = true, c.Revision
		r.hosts[c.ID] = &h
	}
	r.notify(c, Unreadable)
}

func (r *Registry) publish() {
	hosts := make([]*pimcatalog.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		hosts = append(hosts, h)
	}
	r.catalog.Store(pimcatalog.NewCatalog(r.revision, r.routes, hosts))
}
