package pimregistry

import (
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// inEra returns a revision with a number in an era.
func inEra(era pimid.Era, number uint64) pimid.Revision {
	r, err := pimid.NewRevision(era, number)
	if err != nil {
		panic(err) // the arguments are constants
	}
	return r
}

// reported returns the entry of a backend server with its sequence number, ready or leaving.
func reported(revision pimid.Revision, id pimcatalog.HostID, sequence uint64, leaving bool) Change {
	c := hostChange(revision, id)
	c.Host.StartedAt, c.Host.Sequence, c.Host.Leaving = 1000, sequence, leaving
	return c
}

// viewOfEraOne returns a registry at revision 23 of era 1, with version 11 of the configuration and backend servers 7 and 8,
// of which 8 is leaving.
func viewOfEraOne(t testing.TB, clock pimclock.Clock) *Registry {
	t.Helper()
	r := newRegistry(clock)
	r.ReadSucceeded(r.clock.Now())
	is.New(t).NoErr(r.Restore(Snapshot{Revision: inEra(1, 23), Changes: []Change{
		configChange(inEra(1, 22), 11, route(1, time.Second), route(2, time.Second)),
		reported(inEra(1, 6), 7, 1, false), reported(inEra(1, 23), 8, 2, true),
	}}))
	return r
}

// Guards against a view that stays as it was, or that goes back, because the platform was restored from a copy with lower
// revisions.
func TestListOfARestoredPlatformIsAccepted(t *testing.T) {
	is := is.New(t)
	r := viewOfEraOne(t, &pimclock.Manual{})
	version := func() pimcatalog.Version { return r.Catalog().Routes.Version }
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 20), Changes: []Change{
		configChange(inEra(2, 18), 8, route(1, time.Second)), reported(inEra(2, 6), 7, 1, false),
	}}))
	is.Equal(r.Revision(), inEra(2, 20))
	is.Equal(version(), pimcatalog.Version(11)) // version 8 is older
	apply(t, r, configChange(inEra(2, 21), 11, route(1, time.Second), route(2, time.Second)))
	apply(t, r, configChange(inEra(2, 23), 14, route(3, time.Second)))
	is.Equal(version(), pimcatalog.Version(14))
	is.NoErr(r.Apply(Batch{From: inEra(1, 23), To: inEra(1, 30), Changes: []Change{configChange(inEra(1, 30), 20)}}))
	is.Equal(version(), pimcatalog.Version(14)) // a late response from the earlier era
}

// Guards against new flows to a backend server that has said that it leaves, because the copy is from before that.
func TestOlderCopyDoesNotUndoALeavingBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := viewOfEraOne(t, clock)
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 20), Changes: []Change{
		reported(inEra(2, 6), 7, 1, false), reported(inEra(2, 7), 8, 1, false),
	}}))
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	is.True(!host(r, 8).AcceptsNewFlows(clock.Now()))
	apply(t, r, reported(inEra(2, 21), 8, 2, true)) // written again
	is.True(!host(r, 8).AcceptsNewFlows(clock.Now()))
	restarted := reported(inEra(2, 24), 8, 1, false)
	restarted.Host.StartedAt++
	apply(t, r, restarted)
	is.True(host(r, 8).AcceptsNewFlows(clock.Now()))
}

// Guards against resets of flows whose backend servers live, because their entries were lost with the latest changes.
func TestEntriesMissingFromTheCopyMayReturn(t *testing.T) {
	for _, viaPeer := range []bool{false, true} {
		is := is.New(t)
		clock := &pimclock.Manual{}
		r := viewOfEraOne(t, clock)
		clock.Advance(time.Minute)
		r.ReadSucceeded(r.clock.Now())
		list := Snapshot{Revision: inEra(2, 5), Changes: []Change{configChange(inEra(2, 5), 11, route(1, time.Second))}}
		if viaPeer {
			peer := newRegistry(clock)
			peer.ReadSucceeded(peer.clock.Now())
			is.NoErr(peer.Restore(list))
			is.NoErr(r.Merge(peer.Since(r.DeltaRequest())))
		} else {
			is.NoErr(r.Restore(list))
		}
		is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
		is.True(!host(r, 8).Gone(clock.Now())) // it was leaving, and has open flows
		clock.Advance(2 * time.Second)
		r.ReadSucceeded(r.clock.Now())
		apply(t, r, reported(inEra(2, 6), 7, 2, false))
		clock.Advance(time.Second)
		is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
		is.True(host(r, 8).Gone(clock.Now()))
	}
}

// Guards against a living backend server that counts as ended because the copy lists the earlier owner of its address.
func TestCopyListsTheEarlierOwnerOfAnAddress(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := viewOfEraOne(t, clock)
	successor := reported(inEra(1, 24), 9, 1, false)
	successor.Host.Address, successor.Host.StartedAt = host(r, 7).Address, 2000
	apply(t, r, successor)
	is.True(host(r, 7).Gone(clock.Now()))
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 8), Changes: []Change{reported(inEra(2, 6), 7, 1, false)}}))
	is.True(host(r, 7).Gone(clock.Now()))
	is.True(host(r, 9).AcceptsNewFlows(clock.Now()))
}

// Guards against a backend server that stays unused after its entry has lapsed in an earlier era, and against an ended one
// that gets new flows for longer than the copy lists it.
func TestCopyListsAnEndedBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := viewOfEraOne(t, clock)
	clock.Advance(time.Minute)
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: inEra(1, 24), ID: 7, Removed: true}, Change{Revision: inEra(1, 25), ID: 8, Removed: true})
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 8), Changes: []Change{
		reported(inEra(2, 6), 7, 1, false), reported(inEra(2, 7), 8, 1, false),
	}}))
	is.True(host(r, 7).AcceptsNewFlows(clock.Now())) // nothing tells whether it runs
	is.True(host(r, 8).Gone(clock.Now()))            // it has left
	clock.Advance(3 * time.Second)
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: inEra(2, 9), ID: 7, Removed: true}, Change{Revision: inEra(2, 10), ID: 8, Removed: true})
	is.True(host(r, 7).Gone(clock.Now()))
	is.True(host(r, 8).Gone(clock.Now()))
}

// Guards against an ended backend server that gets new flows again, because the copy listed it until its entry expired once
// more.
func TestEntryOfAnEndedBackendServerExpiresAgain(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := viewOfEraOne(t, clock)
	clock.Advance(time.Minute)
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, reported(inEra(1, 24), 7, 2, false))
	apply(t, r, Change{Revision: inEra(1, 25), ID: 7, Removed: true})
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 8), Changes: []Change{reported(inEra(2, 6), 7, 1, false)}}))
	is.True(host(r, 7).Gone(clock.Now()))
	apply(t, r, Change{Revision: inEra(2, 9), ID: 7, Removed: true})
	is.True(host(r, 7).Gone(clock.Now()))
}

// Guards against entries that stay for ever because the first part of a delta from a new era was merged into a view of the
// earlier one.
func TestPartOfADeltaFromANewEraIsRefused(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	cfg := DefaultSettings(3 * time.Second)
	cfg.PartSize = 1
	r, sender := viewOfEraOne(t, clock), New(cfg, clock, nil)
	is.NoErr(sender.Restore(Snapshot{Revision: inEra(2, 9), Changes: []Change{
		configChange(inEra(2, 5), 11, route(1, time.Second)), reported(inEra(2, 6), 7, 1, false), reported(inEra(2, 7), 9, 1, false),
	}}))
	part := sender.Since(DeltaRequest{})
	is.True(part.More)
	is.True(errors.Is(r.Merge(part), ErrGap))
	is.Equal(r.Revision(), inEra(1, 23))
	is.NoErr(mergeAll(r, sender))
	is.Equal(r.Revision(), inEra(2, 9))
}

// Guards against a route that stays in force on a VM that alone had the version that added it: the platform has lost that
// version, and the next one no longer has the route.
func TestRouteOfALostVersionIsRemoved(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, sender := viewOfEraOne(t, clock), viewOfEraOne(t, clock)
	apply(t, r, configChange(inEra(1, 24), 12, route(1, time.Second), route(2, time.Second), route(3, time.Second)))
	copied := Snapshot{Revision: inEra(2, 22), Changes: []Change{
		configChange(inEra(2, 21), 11, route(1, time.Second), route(2, time.Second)),
	}}
	is.NoErr(r.Restore(copied))
	is.NoErr(sender.Restore(copied))
	apply(t, sender, configChange(inEra(2, 23), 13, route(1, time.Second), route(2, time.Minute)))
	is.True(errors.Is(r.Merge(sender.Since(r.DeltaRequest())), ErrGap))
	is.NoErr(r.Merge(sender.Since(r.DeltaRequest())))
	is.Equal(r.Catalog().Routes.Version, pimcatalog.Version(13))
	is.Equal(r.Catalog().Routes.Route(route(3, 0).Address), nil)
}

// Guards against a VM without a configuration that counts as up to date, because a delta for its run before arrived late.
func TestDeltaForAnEarlierRunIsRefused(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	sender, restarted := viewOfEraOne(t, clock), newRegistry(clock)
	is.True(errors.Is(restarted.Merge(sender.Since(DeltaRequest{From: inEra(1, 2), Config: 11})), ErrGap))
	is.Equal(restarted.Revision(), pimid.Revision(0))
}

// restoringPlatform is a platform that is restored from copies, with the backend servers that write to it.
type restoringPlatform struct {
	fakePlatform
	// reports are the last reports of the running backend servers; what the platform lists may be older.
	reports map[pimcatalog.HostID]pimcatalog.Host
	copies  []fakePlatform
	started int64
	// writeBy is when all that was lost must be written again; zero if nothing is missing.
	writeBy pimclock.Instant
}

// copyLimit is the number of copies that are kept, each after some changes.
const copyLimit = 3

func (p *restoringPlatform) put(id pimcatalog.HostID) {
	p.revision++
	h := p.reports[id]
	c := Change{Revision: p.revision, Created: p.revision, ID: id, Host: &h}
	if old, ok := p.hosts[id]; ok {
		c.Created = old.Created
	}
	p.hosts[id] = c
	p.log = append(p.log, c)
}

func (p *restoringPlatform) remove(id pimcatalog.HostID) {
	p.revision++
	delete(p.hosts, id)
	p.log = append(p.log, Change{Revision: p.revision, ID: id, Removed: true})
}

// change lets a backend server start, report or end, or publishes a configuration.
func (p *restoringPlatform) change(rng *rand.Rand) {
	id := pimcatalog.HostID(1 + rng.IntN(6))
	h, isRunning := p.reports[id]
	switch {
	case rng.IntN(3) == 0:
		port := uint16(1 + rng.IntN(5))
		if _, ok := p.routes[port]; ok && rng.IntN(2) == 0 {
			delete(p.routes, port)
		} else {
			p.routes[port] = route(port, time.Duration(p.version))
		}
		p.version++
		p.revision++
		p.log = append(p.log, p.config())
	case !isRunning:
		h = *hostChange(0, id).Host
		p.started++
		h.StartedAt, h.Sequence = p.started, 1
		p.reports[id] = h
		p.put(id)
	case h.Leaving:
		delete(p.reports, id)
		p.remove(id)
	default:
		h.Sequence++
		h.Leaving = rng.IntN(2) == 0
		p.reports[id] = h
		p.put(id)
	}
}

func (p *restoringPlatform) copy() {
	state := p.fakePlatform
	state.log, state.hosts = slices.Clone(p.log), maps.Clone(p.hosts)
	p.copies = append(p.copies, state)[max(0, len(p.copies)+1-copyLimit):]
}

// restore begins a new era with the state of a copy. What was lost is written again within returnTime.
func (p *restoringPlatform) restore(rng *rand.Rand, now pimclock.Instant) {
	const returnTime = time.Second
	state := p.copies[rng.IntN(len(p.copies))]
	era := p.revision.Era() + 1
	again := func(r pimid.Revision) pimid.Revision { return inEra(era, r.Number()) }
	p.revision, p.log, p.hosts = again(state.revision), nil, map[pimcatalog.HostID]Change{}
	for _, c := range state.log {
		c.Revision, c.Created = again(c.Revision), again(c.Created)
		p.log = append(p.log, c)
	}
	for id, c := range state.hosts {
		c.Revision, c.Created = again(c.Revision), again(c.Created)
		p.hosts[id] = c
	}
	p.copies, p.writeBy = nil, now.Add(returnTime)
	p.copy()
}

// writeAgain writes what the platform has lost, and removes entries of backend servers that have ended.
func (p *restoringPlatform) writeAgain() {
	p.writeBy = 0
	if p.version > 0 {
		p.revision++
		p.log = append(p.log, p.config())
	}
	for id := pimcatalog.HostID(1); id <= 6; id++ {
		h, isRunning := p.reports[id]
		c, isListed := p.hosts[id]
		switch {
		case isRunning && (!isListed || c.Host.StartedAt != h.StartedAt || c.Host.Sequence != h.Sequence):
			p.put(id)
		case !isRunning && isListed:
			p.remove(id)
		}
	}
}

// read lets a VM watch the platform, or list it if the platform does not have the revision of the VM.
func (p *restoringPlatform) read(r *Registry) error {
	r.ReadSucceeded(r.clock.Now())
	if from := r.Revision(); from.Era() == p.revision.Era() && from > 0 {
		return r.Apply(p.since(from))
	}
	return r.Restore(p.snapshot())
}

// step changes or restores the platform, or lets VM i read it or receive a delta from VM j, at once or later.
func (p *restoringPlatform) step(rng *rand.Rand, now pimclock.Instant, fleet []*Registry, i, j int) {
	switch rng.IntN(10) {
	case 0, 1:
		if p.writeBy == 0 {
			p.change(rng)
		}
	case 2:
		p.copy()
	case 3:
		if p.writeBy == 0 && len(p.copies) > 0 && rng.IntN(4) == 0 {
			p.restore(rng, now)
		}
	case 4, 5:
		_ = p.read(fleet[i]) // a view that is newer than the platform refuses
	case 6, 7:
		_ = fleet[i].Merge(fleet[j].Since(fleet[i].DeltaRequest())) // a gap is refused
	case 8:
		p.pending[i] = append(p.pending[i], fleet[j].Since(fleet[i].DeltaRequest()))
	case 9:
		if n := len(p.pending[i]); n > 0 {
			at := rng.IntN(n)
			_ = fleet[i].Merge(p.pending[i][at])
			p.pending[i] = slices.Delete(p.pending[i], at, at+1)
		}
	}
}

// checkNoneWentBack fails the test if a step took a VM back to an older configuration or report, or if it resets flows of a
// backend server that runs.
func (p *restoringPlatform) checkNoneWentBack(t *testing.T, seed uint64, now pimclock.Instant, r *Registry, before *pimcatalog.Catalog) {
	t.Helper()
	after := r.Catalog()
	if after.Revision < before.Revision || before.Ready() && after.Routes.Version < before.Routes.Version {
		t.Fatalf("seed %d: went back from %v to %v", seed, before.Revision, after.Revision)
	}
	asOf := now.Add(-r.Age(now))
	for _, known := range before.Hosts() {
		h := after.Host(known.Tag())
		report, isRunning := p.reports[known.ID]
		switch {
		case h == nil:
		case h.StartedAt < known.StartedAt || h.StartedAt == known.StartedAt && h.Sequence < known.Sequence:
			t.Fatalf("seed %d: report %d of host %d after %d", seed, h.Sequence, h.ID, known.Sequence)
		case isRunning && h.StartedAt == report.StartedAt && h.Gone(asOf) && !known.Gone(asOf):
			t.Fatalf("seed %d: host %d counts as ended but runs", seed, h.ID)
		}
	}
}

// Guards against VMs whose views differ, go back or end a backend server that runs, after lists, watches, restarts and deltas
// in any order while the platform is restored from copies.
func TestVMsAgreeWhenThePlatformIsRestored(t *testing.T) {
	const seeds, vms, steps = 500, 4, 250
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 2))
		clock := &pimclock.Manual{}
		clock.Advance(time.Hour)
		p := &restoringPlatform{reports: map[pimcatalog.HostID]pimcatalog.Host{}, fakePlatform: fakePlatform{
			revision: inEra(1, 1), routes: map[uint16]pimcatalog.Route{}, hosts: map[pimcatalog.HostID]Change{}, pending: map[int][]Delta{},
		}}
		fleet := make([]*Registry, vms)
		restart := func(i int) {
			cfg := DefaultSettings(3 * time.Second)
			// Small parts, so that most answers come in several.
			cfg.PartSize = 1 + int(seed%4)
			fleet[i] = New(cfg, clock, nil)
		}
		for i := range fleet {
			restart(i)
		}
		for range steps {
			clock.Advance(50 * time.Millisecond)
			if p.writeBy != 0 && (!clock.Now().Before(p.writeBy) || rng.IntN(10) == 0) {
				p.writeAgain()
			}
			i, j := rng.IntN(vms), rng.IntN(vms)
			if rng.IntN(24) == 0 {
				restart(i)
				continue
			}
			before := fleet[i].Catalog()
			p.step(rng, clock.Now(), fleet, i, j)
			p.checkNoneWentBack(t, seed, clock.Now(), fleet[i], before)
		}
		p.writeAgain()
		checkAgreement(t, seed, &p.fakePlatform, clock, fleet)
	}
}

// Guards against a version that is never sent on because the VM that has it received it in an earlier era, and against a
// route that stays because the sender does not know that it was removed.
func TestDeltaBetweenErasHasTheNewestConfiguration(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	long, late := viewOfEraOne(t, clock), newRegistry(clock)
	copied := Snapshot{Revision: inEra(2, 20), Changes: []Change{
		configChange(inEra(2, 18), 8, route(1, time.Second), route(4, time.Second)), reported(inEra(2, 6), 7, 1, false),
	}}
	for _, r := range []*Registry{long, late} {
		r.ReadSucceeded(r.clock.Now())
		is.NoErr(r.Restore(copied))
	}
	apply(t, long, reported(inEra(2, 21), 8, 2, true))
	is.NoErr(mergeAll(late, long))
	is.Equal(late.Catalog().Routes.Version, pimcatalog.Version(11))
	is.Equal(late.Catalog().Routes.Route(route(4, 0).Address), nil)
	is.True(late.Catalog().Routes.Route(netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), 2)) != nil)
}
