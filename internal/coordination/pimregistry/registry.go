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

// Settings hold the time limits of a view and the size of the parts of a delta.
type Settings struct {
	// FreshFor is the age up to which a view counts as current.
	FreshFor time.Duration
	// ReturnWithin is how long after an outage of the platform entries that lapsed during it may still return.
	ReturnWithin time.Duration
	// PartSize is the largest number of entries in one part of a delta.
	PartSize int
}

// DefaultSettings returns the settings for a platform whose changes must be in force within the given time.
func DefaultSettings(inForceWithin time.Duration) Settings {
	return Settings{
		FreshFor: inForceWithin,
		// Backend servers renew lapsed entries within 2 s of the end of an outage; the rest is the delay of the watch.
		ReturnWithin: 2500 * time.Millisecond,
		// About 25 KB: the queue of a socket holds three times as much, and a link of 10 Mbit/s takes 20 ms.
		PartSize: 200,
	}
}

// Listener is called with each change and what the registry decided about it.
type Listener func(c Change, decision Decision)

// Decision is what a registry did with a change.
type Decision string

// The decisions.
const (
	// Applied means that the change is in force.
	Applied Decision = "applied"
	// Listed is Applied for the backend servers of the first complete list.
	Listed Decision = "listed"
	// Outdated means that the change is not newer than what is in force.
	Outdated Decision = "outdated"
	// Unreadable means that the entry could not be decoded.
	Unreadable Decision = "unreadable"
	// Lapsed means that the entry disappeared during or soon after an outage of the platform and may return.
	Lapsed Decision = "lapsed"
	// Ended means that the backend server of a removed entry has ended.
	Ended Decision = "ended"
	// Kept means that the platform was restored from a copy with an older report of the backend server than the known one.
	Kept Decision = "kept"
	// Superseded means that a newer backend server uses the address.
	Superseded Decision = "superseded"
	// Foreign means that the entry has the id of a backend server with another name, and is not used by the configuration in force.
	Foreign Decision = "foreign"
	// Relayed means that the state of a backend server, or the begin or end of an evacuation, was taken from another VM.
	Relayed Decision = "relayed"
	// Renewed means that the request for an evacuation in progress was published again.
	Renewed Decision = "renewed"
)

// Registry holds the view of a VM; it is safe for concurrent use.
type Registry struct {
	cfg    Settings
	clock  pimclock.Clock
	notify Listener

	mu       sync.Mutex
	revision pimid.Revision
	// base is the revision of the last complete list: entries that were both added and removed before it are unknown.
	base pimid.Revision
	// isPartial is set while later parts of a delta are missing. An entry that has changed after the revision may then be
	// out of date or missing, even if it also changed before.
	isPartial bool
	// partialUntil is the revision that the view must reach to be no longer partial: that of the sender of a part, or of the last
	// change of an entry that was left out of it. Another VM at a lower revision has an earlier change of such an entry, but takes it
	// for known.
	partialUntil pimid.Revision
	// urgent is the revision up to which all changes of backend servers are known; it is at least revision.
	urgent pimid.Revision
	// urgentUntil is the revision that urgent must reach after a part of an urgent delta, as partialUntil after a part of one with all
	// changes.
	urgentUntil pimid.Revision

	routes *pimcatalog.RouteTable
	config *pimcatalog.Config
	// wantsWholeConfig is set once the changes from another VM did not lead to its routes.
	wantsWholeConfig bool
	// routeVersions holds the version of the last change of each route, droppedRoutes that of the removal of each removed
	// route.
	routeVersions, droppedRoutes map[netip.AddrPort]pimcatalog.Version
	entries                      entries
	// removed holds the revisions at which entries disappeared, so that a late copy of an entry does not restore it. A removal without a
	// name counts for all entries with the id.
	removed      map[entryKey]pimid.Revision
	reachability reachability
	evacuations  evacuations
	// lapsed holds the instants by which entries that have lapsed must return; see endOutage. An entry that has returned or ended
	// may still be in it.
	lapsed map[entryKey]pimclock.Instant
	// overwritten holds the reports of backend servers whose entries may have been overwritten by another writer.
	overwritten map[entryKey]overwritten
	// everPublished holds the services that a configuration of this run has named. It only tells entries with the same id apart.
	everPublished map[pimcatalog.Service]bool
	// foreign holds the entries that do not stand for their ids in the catalog.
	foreign map[entryKey]bool
	// superseded holds the backend servers of the catalog that have ended because their addresses have later owners.
	superseded map[pimcatalog.HostID]bool
	// isFirstList is set while the first complete list is applied.
	isFirstList bool

	catalog atomic.Pointer[pimcatalog.Catalog]
	// lastOK is the instant as of which the catalog is complete: the platform was read then, by this VM or by one that
	// confirmed the view. It is set after the catalog, and loaded before it.
	lastOK atomic.Int64
	// readAsOf is the latest instant at which the platform certainly had nothing newer than the last successful read of this VM.
	readAsOf pimclock.Instant
}

// New returns an empty registry. The listener is called with the registry locked.
func New(cfg Settings, clock pimclock.Clock, notify Listener) *Registry {
	if notify == nil {
		notify = func(Change, Decision) {}
	}
	r := &Registry{
		cfg: cfg, clock: clock, notify: notify,
		entries: entries{},
		removed: map[entryKey]pimid.Revision{}, everPublished: map[pimcatalog.Service]bool{},
		lapsed: map[entryKey]pimclock.Instant{}, overwritten: map[entryKey]overwritten{},
		evacuations: evacuations{published: map[pimid.DataCentre]pimid.Revision{}},

		routeVersions: map[netip.AddrPort]pimcatalog.Version{}, droppedRoutes: map[netip.AddrPort]pimcatalog.Version{},
		readAsOf: never,
	}
	r.lastOK.Store(int64(never))
	r.catalog.Store(pimcatalog.NewCatalog(0, nil, nil))
	return r
}

// Catalog returns the current catalog.
func (r *Registry) Catalog() *pimcatalog.Catalog { return r.catalog.Load() }

// Revision returns the revision up to which all changes are known; zero means that nothing has been received.
func (r *Registry) Revision() pimid.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Apply applies a batch from a watch of the platform. The error is ErrStale if the revision of the platform went back, or
// is older than that of the VM whose first part this VM has.
func (r *Registry) Apply(b Batch) (err error) {
	defer func() { err = oops.In("pimregistry").Wrapf(err, "apply changes up to revision %v", b.To) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.To < b.From {
		return ErrStale
	}
	r.applyEvacuations(&b)
	if b.To > r.revision && r.mayRestoreRemoved(b.To) {
		return ErrStale
	}
	if b.To <= r.revision {
		// Another VM has sent the same changes in the meantime.
		r.confirmRead()
		return nil
	}
	now := r.clock.Now()
	for _, c := range b.Changes {
		r.applyChange(now, c)
	}
	r.setRevision(b.To, b.To < r.partialUntil)
	r.publish()
	r.confirmRead()
	return nil
}

// Restore applies a complete list. Entries that are missing from it count as removed; no entry goes back to an older
// revision. The error is ErrStale if the list is older than the view.
func (r *Registry) Restore(s Snapshot) (err error) {
	defer func() { err = oops.In("pimregistry").Wrapf(err, "restore revision %v", s.Revision) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoreEvacuations(&s)
	if s.Revision < r.revision {
		// Another VM has sent later changes in the meantime.
		r.confirmRead()
		return ErrStale
	}
	now := r.clock.Now()
	isNewEra := r.isNewEra(s.Revision)
	if isNewEra {
		r.beginEra(now)
	}
	listed := make(map[entryKey]bool, len(s.Changes))
	r.isFirstList = r.revision == 0
	for _, c := range s.Changes {
		listed[r.resolve(now, &c)] = true
		r.applyChange(now, c)
	}
	r.isFirstList = false
	r.removeMissing(now, listed, s.Revision, isNewEra)
	r.base, r.partialUntil = s.Revision, 0
	r.setRevision(s.Revision, false)
	r.publish()
	r.confirmRead()
	return nil
}

// setRevision records that all changes up to a revision are known.
func (r *Registry) setRevision(revision pimid.Revision, isPartial bool) {
	r.revision, r.isPartial = revision, isPartial
	r.urgent = max(r.urgent, revision)
}

// applyChange applies one change of the platform unless it is outdated or unreadable.
func (r *Registry) applyChange(now pimclock.Instant, c Change) {
	switch {
	case c.Evacuation != "":
		// See applyEvacuations and restoreEvacuations.
	case c.Config != nil:
		r.applyConfig(c)
	case c.ID == 0:
		if c.Fault != nil {
			r.notify(c, Unreadable)
		}
	case c.Revision <= r.lastChange(r.resolve(now, &c)):
		r.notify(c, Outdated)
	case c.Removed:
		r.remove(now, c)
	case c.Host == nil:
		r.handleUnreadable(now, c)
	default:
		r.putHost(now, c)
	}
}

// lastChange returns the revision of the last change of an entry.
func (r *Registry) lastChange(key entryKey) pimid.Revision {
	if h := r.entries.get(key); h != nil {
		return h.Revision
	}
	return max(r.removed[key], r.removed[entryKey{id: key.id}])
}

// version returns the version of the configuration in force; zero means that there is none.
func (r *Registry) version() pimcatalog.Version {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// applyConfig puts a configuration in force if its version is higher than the current one. Its revision does not count: a
// platform that was restored from an older copy publishes an older version at a higher revision, and the same version again.
func (r *Registry) applyConfig(c Change) {
	if r.config != nil && c.Config.Version <= r.config.Version && !r.addsSlowStart(c.Config) {
		r.notify(c, Outdated)
		return
	}
	r.setConfig(c.Config)
	r.notify(c, Applied)
}

// addsSlowStart reports whether a configuration is the one in force, which came without the limits during the slow start.
func (r *Registry) addsSlowStart(cfg *pimcatalog.Config) bool {
	return cfg.Version == r.config.Version && r.config.SlowStartUnknown && !cfg.SlowStartUnknown
}

// setConfig puts a configuration in force.
func (r *Registry) setConfig(cfg *pimcatalog.Config) {
	r.recordRouteChanges(cfg)
	r.config, r.wantsWholeConfig = cfg, false
	r.routes = pimcatalog.NewRouteTable(cfg)
	for _, service := range cfg.Services {
		r.everPublished[service] = true
	}
}

// recordRouteChanges records the version for each route that a new configuration changes or removes.
func (r *Registry) recordRouteChanges(cfg *pimcatalog.Config) {
	old := make(map[netip.AddrPort]*pimcatalog.Route, len(r.routeVersions))
	if r.config != nil {
		for i := range r.config.Routes {
			old[r.config.Routes[i].Address] = &r.config.Routes[i]
		}
	}
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		if before := old[route.Address]; before == nil || !before.Equal(route) {
			r.routeVersions[route.Address] = cfg.Version
		}
		delete(old, route.Address)
		delete(r.droppedRoutes, route.Address)
	}
	for address := range old {
		delete(r.routeVersions, address)
		r.droppedRoutes[address] = cfg.Version
	}
}

// putHost stores a new or changed entry.
func (r *Registry) putHost(now pimclock.Instant, c Change) {
	h := *c.Host
	h.ColdUntil = coldUntil(now, h.Warmup)
	h.Revision, h.Created = c.Revision, c.Created
	decision := r.storeHost(now, &h)
	if r.isFirstList && decision == Applied {
		decision = Listed
	}
	r.notify(c, decision)
}

// clockDriftDivisor is the inverse of the highest relative difference in speed between the clocks of two machines.
const clockDriftDivisor = 1000

// coldRounding is the margin of the end of a slow start, whose rest is published in whole milliseconds.
const coldRounding = time.Millisecond

// coldUntil returns the end of a slow start of which some was left when its entry was published or sent; it is never too early.
func coldUntil(now pimclock.Instant, rest time.Duration) pimclock.Instant {
	if rest <= 0 {
		return now
	}
	return now.Add(rest + rest/clockDriftDivisor + coldRounding)
}

// storeHost stores the state of a backend server, unless this VM knows a later report of it from an earlier era.
func (r *Registry) storeHost(now pimclock.Instant, h *pimcatalog.Host) Decision {
	if r.keepReport(now, h) {
		return Kept
	}
	r.recordOverwritten(now, h)
	delete(r.removed, keyOf(h))
	r.entries.put(h)
	return Applied
}

// handleUnreadable stops new flows to the backend server of an unreadable entry; its open flows go on.
func (r *Registry) handleUnreadable(now pimclock.Instant, c Change) {
	if old := r.entries.get(r.resolve(now, &c)); old != nil {
		h := *old
		h.Leaving, h.Revision = true, c.Revision
		r.entries.put(&h)
	}
	r.notify(c, Unreadable)
}

// publish derives the catalog from the entries and the configuration in force. One of a service that the configuration does not name is
// kept for packets of open flows: an earlier configuration may have named it, which a VM that has started since cannot know.
func (r *Registry) publish() {
	now := r.clock.Now()
	r.removeEnded(now)
	r.removeOverwritten()
	hosts := make([]*pimcatalog.Host, 0, len(r.entries))
	foreign := map[entryKey]bool{}
	for _, n := range r.entries {
		owner := r.owner(now, n)
		hosts = append(hosts, owner)
		if n.isShared() {
			r.recordForeign(foreign, n, owner)
		}
	}
	r.foreign = foreign
	r.endEarlierOwners(hosts)
	r.catalog.Store(pimcatalog.NewCatalog(r.revision, r.routes, hosts, r.evacuations.names()...))
}

// recordForeign records the entries that do not stand for the id of their owner, and reports those that are listed and new. Before
// the first configuration, the owner is not certain.
func (r *Registry) recordForeign(foreign map[entryKey]bool, n namesakes, owner *pimcatalog.Host) {
	if r.routes == nil {
		return
	}
	for h := range n.all() {
		if h.Name == owner.Name || h.Unlisted {
			continue
		}
		key := keyOf(h)
		foreign[key] = true
		if !r.foreign[key] {
			r.notify(Change{ID: h.ID, Name: h.Name, Host: h, Revision: h.Revision}, Foreign)
		}
	}
}
