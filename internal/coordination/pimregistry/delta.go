package pimregistry

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Delta is what one VM sends to another one: all entries that have changed between two revisions. It holds the latest
// state of each entry, not its events, so that its size does not depend on how often an entry has changed.
type Delta struct {
	// From is the revision after which changes are included; zero means that the delta holds all entries.
	From pimid.Revision `cbor:"1,keyasint"`
	// To is the revision up to which changes are included. Entries whose last change is after it are left out if later parts
	// follow; otherwise they are included, since they may also have changed before it.
	To pimid.Revision `cbor:"2,keyasint"`
	// More is set if later parts follow with the entries that changed after To.
	More bool `cbor:"6,keyasint,omitempty"`
	// Newest is the revision up to which the sender knows which entries are gone.
	Newest pimid.Revision `cbor:"7,keyasint,omitempty"`
	// Version is that of the sender's configuration. Config holds its changes unless the receiver had it before.
	Version pimcatalog.Version `cbor:"8,keyasint,omitempty"`
	Config  *ConfigDelta       `cbor:"3,keyasint,omitempty"`
	Hosts   []HostState        `cbor:"4,keyasint,omitempty"`
	// Removed are the entries that disappeared and whose backend servers are no longer in the catalog.
	Removed []RemovedHost `cbor:"5,keyasint,omitempty"`
	// RemovedOthers are those whose ids another entry has. VMs of earlier versions, which take a removal for that of the id, ignore them.
	RemovedOthers []RemovedHost `cbor:"13,keyasint,omitempty"`
	// ByName is set if each entry is included under its name. VMs of earlier versions know only one of the entries with the same id.
	ByName bool `cbor:"14,keyasint,omitempty"`
	// Evacuations are those that the sender knows; nil if it knows of none, or is of a version that does not.
	Evacuations *EvacuationSet `cbor:"12,keyasint,omitempty"`
	// Urgent is the revision up to which changes of backend servers are included, if it is after To and no later parts follow.
	Urgent pimid.Revision `cbor:"9,keyasint,omitempty"`
	// Last is the revision of the last change of the entries that were left out, since they changed after To.
	Last pimid.Revision `cbor:"11,keyasint,omitempty"`
	// UrgentOnly is set if the delta holds nothing but the changes of backend servers and evacuations, for a VM that requested only
	// these.
	UrgentOnly bool `cbor:"10,keyasint,omitempty"`
}

// ConfigDelta is the difference between two configurations.
type ConfigDelta struct {
	Version pimcatalog.Version `cbor:"1,keyasint"`
	// Since is the version after which changes are included; zero means that all routes are.
	Since pimcatalog.Version `cbor:"7,keyasint,omitempty"`
	// Sum is the checksum of all routes of the version, if not all are included.
	Sum         uint64               `cbor:"8,keyasint,omitempty"`
	IdleTimeout time.Duration        `cbor:"3,keyasint"`
	Services    []pimcatalog.Service `cbor:"4,keyasint"`
	Routes      []pimcatalog.Route   `cbor:"5,keyasint,omitempty"`
	// Dropped holds the addresses of removed routes.
	Dropped []netip.AddrPort `cbor:"6,keyasint,omitempty"`
	// SlowStart holds all limits of services during the slow start, like Services. HasSlowStart is set if the sender knows them; VMs of
	// earlier versions leave both out.
	SlowStart    []pimcatalog.SlowStart `cbor:"9,keyasint,omitempty"`
	HasSlowStart bool                   `cbor:"10,keyasint,omitempty"`
}

// HostState is a backend server with its instants as durations from the time of sending, since VMs do not share a
// clock.
type HostState struct {
	Host pimcatalog.Host `cbor:"1,keyasint"`
	// ColdFor is the rest of the slow start, GoneIn the time until a backend server without an entry counts as ended.
	ColdFor time.Duration `cbor:"2,keyasint,omitempty"`
	GoneIn  time.Duration `cbor:"3,keyasint,omitempty"`
	// Overwritten are the reports that the present one has replaced, if either may come from another writer, and Since is the revision at
	// which the service of the present one first appeared under the name.
	Overwritten []OverwrittenState `cbor:"4,keyasint,omitempty"`
	Since       pimid.Revision     `cbor:"5,keyasint,omitempty"`
}

// RemovedHost is an entry that disappeared at a revision.
type RemovedHost struct {
	ID       pimcatalog.HostID `cbor:"1,keyasint"`
	Revision pimid.Revision    `cbor:"2,keyasint"`
	// Name is empty if the VM that has sent it knows only the id.
	Name string `cbor:"3,keyasint,omitempty"`
}

// DeltaRequest tells another VM which changes are missing.
type DeltaRequest struct {
	// From is the revision after which changes are missing; zero requests all entries.
	From pimid.Revision
	// Base is the revision of the last complete list of the requesting VM.
	Base pimid.Revision
	// Config is the version of its configuration in force; zero means that it has none.
	Config pimcatalog.Version
	// Urgent is the revision after which changes of backend servers are missing. It is at least From.
	Urgent pimid.Revision
}

// DeltaRequest returns the request for the changes that this VM is missing.
func (r *Registry) DeltaRequest() DeltaRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	config := r.version()
	if r.wantsWholeConfig {
		config = 0
	}
	return DeltaRequest{From: r.revision, Base: r.base, Config: config, Urgent: r.urgent}
}

// Since returns the changes that a request asks for. If the last complete list of this VM is newer than the request,
// the delta holds all entries, since this VM does not know which entries were added and removed before. A long answer
// is split into parts that fit the socket queue of a slow VM. All entries for a VM with an old view come in one part
// instead, since that VM has to find out which of its entries are gone.
func (r *Registry) Since(q DeltaRequest) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.cfg.PartSize
	if max(q.From, q.Base) < r.base {
		if q.From > 0 && r.isPartial {
			// This VM does not know yet which entries of the requesting VM are gone.
			return Delta{}
		}
		if q.From > 0 {
			limit = math.MaxInt
		}
		q.From = 0
		if q.Config < r.version() {
			q.Config = 0
		}
	}
	d := Delta{
		From: q.From, To: r.revision, More: r.isPartial, Newest: max(r.revision, r.base), Version: r.version(),
		Evacuations: r.evacuations.set(), ByName: true,
	}
	if last, ok := r.lastRevisionOfPart(q.From, r.revision, limit); ok {
		d.To, d.More = last, true
	}
	if !d.More && r.knowsUrgent() {
		d.Urgent = r.urgent
	}
	if r.isPartial {
		d.Last = r.partialUntil
	}
	r.addEntries(&d)
	if r.version() > q.Config {
		d.Config = r.configSince(q.Config)
	}
	return d
}

// addEntries adds the entries whose last change is after From and, if later parts follow, not after To. Otherwise the delta has
// those that changed while this VM listed the platform, or that arrived ahead of other changes: their earlier changes are up to
// To, and the receiver of all entries takes missing ones for gone.
func (r *Registry) addEntries(d *Delta) {
	now := r.clock.Now()
	isInDelta := func(revision pimid.Revision) bool {
		if d.More && revision > d.To {
			d.Last = max(d.Last, revision)
			return false
		}
		return revision > d.From
	}
	for h := range r.entries.all() {
		if isInDelta(h.Revision) {
			d.Hosts = append(d.Hosts, r.stateOf(h, now))
		}
	}
	for key, revision := range r.removed {
		if !isInDelta(revision) {
			continue
		}
		gone := RemovedHost{ID: key.id, Name: key.name, Revision: revision}
		if _, isShared := r.entries[key.id]; isShared {
			d.RemovedOthers = append(d.RemovedOthers, gone)
		} else {
			d.Removed = append(d.Removed, gone)
		}
	}
}

// lastRevisionOfPart returns the revision of the last entry that fits into a part of limit entries; ok is false if all
// entries after from fit. Entries that changed after to, up to which this VM knows all changes, do not count.
func (r *Registry) lastRevisionOfPart(from, to pimid.Revision, limit int) (last pimid.Revision, ok bool) {
	var after []pimid.Revision
	add := func(revision pimid.Revision) {
		if revision > from && revision <= to {
			after = append(after, revision)
		}
	}
	for h := range r.entries.all() {
		add(h.Revision)
	}
	for _, revision := range r.removed {
		add(revision)
	}
	if len(after) <= limit {
		return 0, false
	}
	slices.Sort(after)
	return after[limit-1], true
}

// stateOf converts the instants of a backend server to durations from now.
func (r *Registry) stateOf(h *pimcatalog.Host, now pimclock.Instant) HostState {
	s := HostState{Host: *h, ColdFor: h.ColdFor(now)}
	if h.Unlisted {
		s.GoneIn = max(0, h.GoneAt.Sub(now))
	}
	s.Host.ColdUntil, s.Host.GoneAt = 0, 0
	s.Since, s.Overwritten = r.overwrittenStates(now, keyOf(h))
	return s
}

// configSince returns the configuration with the routes that changed after a version, or with all routes after version 0;
// services are always complete. This VM may not know all routes that were removed: a list has only the last version, and a
// platform that was restored has lost some. The checksum tells.
func (r *Registry) configSince(since pimcatalog.Version) *ConfigDelta {
	d := &ConfigDelta{
		Version: r.config.Version, IdleTimeout: r.config.IdleTimeout, Services: r.config.Services,
		SlowStart: r.config.SlowStart, HasSlowStart: !r.config.SlowStartUnknown,
	}
	if since == 0 {
		d.Routes = r.config.Routes
		return d
	}
	d.Since, d.Sum = since, checksum(r.config.Routes)
	for i := range r.config.Routes {
		if r.routeVersions[r.config.Routes[i].Address] > since {
			d.Routes = append(d.Routes, r.config.Routes[i])
		}
	}
	for address, version := range r.droppedRoutes {
		if version > since {
			d.Dropped = append(d.Dropped, address)
		}
	}
	return d
}

// Merge applies a delta from another VM. A delta that starts after the revision of this VM is refused with ErrGap, since the
// changes between would be missed, and so is one that does not lead to the state of the sender; the next request then asks
// for more. A delta that holds nothing new is ignored. Its evacuations are complete in any case, and apply even if the rest is
// refused.
func (r *Registry) Merge(d Delta) (err error) {
	defer func() { err = oops.In("pimregistry").Wrapf(err, "merge revisions %v to %v", d.From, d.To) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeEvacuations(d.Evacuations)
	if d.UrgentOnly {
		return r.mergeUrgent(&d)
	}
	if d.To <= r.revision {
		return nil
	}
	if d.From > r.revision {
		return ErrGap
	}
	now := r.clock.Now()
	isNewEra := r.isNewEra(d.To)
	if isNewEra && (d.From > 0 || d.More) {
		return ErrGap
	}
	if isList := d.From == 0 && !d.More; !isList && r.mayRestoreRemoved(d.Newest) {
		return ErrGap
	}
	if err = r.mergeConfig(&d); err != nil {
		return err
	}
	if isNewEra {
		r.beginEra(now)
	}
	listed := r.mergeEntries(now, &d)
	switch {
	case d.From == 0 && !d.More:
		r.removeMissing(now, listed, d.To, isNewEra)
		r.base, r.partialUntil = d.Newest, 0
	case d.From == 0 && r.revision == 0:
		// A VM without a view has no entries that were removed before.
		r.base = d.Newest
	}
	if d.More {
		r.partialUntil = max(r.partialUntil, d.Last, d.Newest)
	}
	r.setRevision(d.To, d.More || d.To < r.partialUntil)
	r.urgent = max(r.urgent, d.Urgent)
	r.publish()
	return nil
}

// mayRestoreRemoved reports whether changes from a source that is at a revision may restore an entry that is gone: after a first part,
// this VM is behind the sender, but counts as knowing which entries are gone there. An earlier source may still have them.
func (r *Registry) mayRestoreRemoved(source pimid.Revision) bool {
	return r.revision < r.base && source < r.base
}

// mergeEntries merges the entries of a delta, and returns those that are published.
func (r *Registry) mergeEntries(now pimclock.Instant, d *Delta) (listed map[entryKey]bool) {
	listed = make(map[entryKey]bool, len(d.Hosts))
	for i := range d.Hosts {
		h := &d.Hosts[i].Host
		listed[keyOf(h)] = !h.Unlisted
		if !d.ByName {
			r.listUnknownToSender(now, listed, h)
		}
		r.mergeHost(now, d.Hosts[i])
	}
	for _, gone := range slices.Concat(d.Removed, d.RemovedOthers) {
		c := Change{ID: gone.ID, Name: gone.Name, Revision: gone.Revision, Removed: true}
		if c.Revision > r.lastChange(r.resolve(now, &c)) {
			r.remove(now, c)
		}
	}
	return listed
}

// listUnknownToSender counts the entries as listed that a VM of an earlier version does not keep beside one with the same id.
func (r *Registry) listUnknownToSender(now pimclock.Instant, listed map[entryKey]bool, kept *pimcatalog.Host) {
	for h := range r.entries[kept.ID].all() {
		if h.Name != kept.Name && r.compareOwners(now, kept, h) < 0 {
			listed[keyOf(h)] = true
		}
	}
}

// mergeConfig puts the configuration of a delta in force if it is newer. The error is ErrGap if the delta was meant for a run
// of this VM that had a newer configuration, or if the changes do not lead to the routes of the sender.
func (r *Registry) mergeConfig(d *Delta) error {
	cfg := d.Config
	switch {
	case cfg == nil && d.Version <= r.version(), cfg != nil && cfg.Version <= r.version():
		return nil
	case cfg == nil || cfg.Since > r.version():
		return ErrGap
	}
	patched := r.patchedConfig(cfg)
	if cfg.Since > 0 && cfg.Sum != checksum(patched.Routes) {
		r.wantsWholeConfig = true
		return ErrGap
	}
	r.setConfig(patched)
	r.notify(Change{Revision: d.To, Config: patched}, Applied)
	r.recordDeltaRoutes(cfg)
	return nil
}

// recordDeltaRoutes records the version for each route that a delta names, even if the delta leaves the route as this VM had
// it: the route may have been added and removed, or removed and added again, since the version of this VM. A VM with a
// version in between must receive that change from this VM.
func (r *Registry) recordDeltaRoutes(d *ConfigDelta) {
	for i := range d.Routes {
		r.routeVersions[d.Routes[i].Address] = d.Version
	}
	for _, address := range d.Dropped {
		r.droppedRoutes[address] = d.Version
	}
}

// patchedConfig returns the configuration of this VM with the changes of a delta.
func (r *Registry) patchedConfig(d *ConfigDelta) *pimcatalog.Config {
	cfg := &pimcatalog.Config{
		Version: d.Version, IdleTimeout: d.IdleTimeout, Services: d.Services,
		SlowStart: d.SlowStart, SlowStartUnknown: !d.HasSlowStart,
	}
	if d.Since == 0 {
		cfg.Routes = d.Routes
		return cfg
	}
	routes := make(map[netip.AddrPort]pimcatalog.Route, len(r.config.Routes))
	for _, route := range r.config.Routes {
		routes[route.Address] = route
	}
	for _, address := range d.Dropped {
		delete(routes, address)
	}
	for _, route := range d.Routes {
		routes[route.Address] = route
	}
	cfg.Routes = slices.SortedFunc(maps.Values(routes), func(a, b pimcatalog.Route) int {
		return a.Address.Compare(b.Address)
	})
	return cfg
}

// mergeHost stores the state of a backend server from another VM if it is newer.
func (r *Registry) mergeHost(now pimclock.Instant, s HostState) {
	h := s.Host
	h.ColdUntil = coldUntil(now, s.ColdFor)
	if h.Unlisted {
		h.GoneAt = now.Add(s.GoneIn)
	}
	key := keyOf(&h)
	if h.Revision <= r.lastChange(key) {
		return
	}
	c := Change{Revision: h.Revision, ID: h.ID, Name: h.Name, Host: &h, Removed: h.Unlisted}
	if r.keepReport(now, &h) {
		r.notify(c, Kept)
		return
	}
	r.mergeOverwritten(now, &s)
	delete(r.removed, key)
	if r.hasLapsedBefore(&h) {
		h.GoneAt = r.entries.get(key).GoneAt
	} else if s.GoneIn > 0 {
		r.lapsed[key] = h.GoneAt
	}
	r.entries.put(&h)
	r.notify(c, Relayed)
}

// hasLapsedBefore reports whether the entry of a backend server is known to have disappeared before it did by the state of another VM.
// That VM may have learned of it only when it could read the platform again, and then counts the time to return from there. A backend
// server that has returned since has published a later report.
func (r *Registry) hasLapsedBefore(h *pimcatalog.Host) bool {
	old := r.entries.get(keyOf(h))
	return h.Unlisted && old != nil && old.Unlisted && old.GoneAt.Before(h.GoneAt) &&
		old.StartedAt == h.StartedAt && old.Sequence == h.Sequence
}

// removeMissing removes the entries that are not in a complete list of a revision. One whose last change is later is not missing:
// it arrived ahead of other changes, or was listed while it changed. After the first list of an era, all entries have revisions of
// that era.
func (r *Registry) removeMissing(now pimclock.Instant, listed map[entryKey]bool, revision pimid.Revision, isNewEra bool) {
	for h := range r.entries.all() {
		if !listed[keyOf(h)] && h.Revision <= revision && (isNewEra || !h.Unlisted) {
			r.removeHost(now, Change{ID: h.ID, Name: h.Name, Revision: revision, Removed: true}, isNewEra)
		}
	}
	if isNewEra {
		clear(r.removed)
	}
}
