package pimregistry

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// startedRegistry returns a registry that has read a configuration with one route and backend servers 7 and 8.
func startedRegistry(t testing.TB, clock pimclock.Clock) *Registry {
	t.Helper()
	r := newRegistry(clock)
	r.ReadSucceeded(r.clock.Now())
	if err := r.Restore(Snapshot{Revision: 10, Changes: []Change{
		configChange(5, 3, route(1, time.Second)), hostChange(6, 7), hostChange(7, 8),
	}}); err != nil {
		t.Fatal(err)
	}
	return r
}

func apply(t *testing.T, r *Registry, changes ...Change) {
	t.Helper()
	to := r.Revision()
	for _, c := range changes {
		to = max(to, c.Revision)
	}
	if err := r.Apply(Batch{From: r.Revision(), To: to, Changes: changes}); err != nil {
		t.Fatal(err)
	}
}

// readUnchanged reads the platform, which has no changes and had answered the time lag before.
func readUnchanged(r *Registry, lag time.Duration) {
	r.ReadSucceeded(r.clock.Now().Add(-lag))
	r.ConfirmRead()
}

func host(r *Registry, id pimcatalog.HostID) *pimcatalog.Host { return r.Catalog().Host(id.Tag()) }

// Guards against a configuration that goes back, because of an entry with a lower version, an unreadable entry, an
// older list, or a platform that lost its latest revisions.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	r := startedRegistry(t, &pimclock.Manual{})
	version := func() pimcatalog.Version { return r.Catalog().Routes.Version }
	apply(t, r, configChange(11, 2, route(9, time.Second))) // a lower version is ignored
	is.Equal(version(), pimcatalog.Version(3))
	apply(t, r, Change{Revision: 12, Fault: errors.New("not json")})
	is.Equal(version(), pimcatalog.Version(3))
	is.True(errors.Is(r.Restore(Snapshot{Revision: 9, Changes: []Change{configChange(9, 4)}}), ErrStale))
	is.True(errors.Is(r.Apply(Batch{From: 12, To: 4}), ErrStale))
	is.Equal(version(), pimcatalog.Version(3))
	apply(t, r, configChange(13, 8, route(2, time.Second))) // versions may skip numbers
	is.Equal(version(), pimcatalog.Version(8))
	is.Equal(r.Catalog().Routes.Route(route(1, 0).Address), nil)
}

// Guards against many backend servers that count as ended because their entries lapsed during an outage of the
// platform, and against ended ones that are used for longer than ReturnWithin.
func TestEntriesThatLapseInAnOutageMayReturn(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	r.ReadFailed()
	clock.Advance(20 * time.Second)
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: 11, ID: 7, Removed: true}, Change{Revision: 12, ID: 8, Removed: true})
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	clock.Advance(2 * time.Second)
	apply(t, r, hostChange(13, 7))
	clock.Advance(500 * time.Millisecond)
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	is.True(host(r, 8).Gone(clock.Now()))
}

// Guards against resets of flows whose backend server lives, but could not publish its entry again, since a second outage followed
// soon after the one in which the entry lapsed.
func TestEntriesThatLapseMayReturnAfterASecondOutage(t *testing.T) {
	ends := map[string]func(r *Registry, clock pimclock.Clock){
		"read by this VM":         func(r *Registry, _ pimclock.Clock) { readUnchanged(r, 0) },
		"confirmed by another VM": func(r *Registry, clock pimclock.Clock) { r.Confirm(r.Revision(), clock.Now()) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &pimclock.Manual{}
			r := startedRegistry(t, clock)
			leaving := hostChange(11, 8)
			leaving.Host.Leaving = true
			apply(t, r, leaving)
			clock.Advance(time.Minute)
			r.ReadFailed()
			clock.Advance(20 * time.Second)
			r.ReadSucceeded(r.clock.Now())
			apply(t, r, Change{Revision: 12, ID: 7, Removed: true}, Change{Revision: 13, ID: 8, Removed: true})

			clock.Advance(time.Second)
			r.ReadFailed()
			clock.Advance(20 * time.Second)
			end(r, clock)
			asOf := clock.Now().Add(-r.Age(clock.Now()))
			is.Equal(asOf, clock.Now())
			is.True(!host(r, 7).Gone(asOf))
			is.True(host(r, 8).Gone(asOf)) // it has ended before

			clock.Advance(r.cfg.ReturnWithin)
			end(r, clock)
			is.True(host(r, 7).Gone(clock.Now())) // it has had time to return
			r.ReadFailed()
			clock.Advance(20 * time.Second)
			end(r, clock)
			is.True(host(r, 7).Gone(clock.Now())) // a third outage does not bring it back
		})
	}
}

// Guards against the same on a VM that learned of the lapse from another one.
func TestRelayedLapseMayReturnAfterASecondOutage(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, other := startedRegistry(t, clock), startedRegistry(t, clock)
	clock.Advance(time.Minute)
	r.ReadFailed()
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: 11, ID: 7, Removed: true})
	is.NoErr(other.Merge(r.Since(other.DeltaRequest())))
	is.True(host(other, 7).Unlisted)
	other.ReadFailed()
	clock.Advance(20 * time.Second)
	readUnchanged(other, 0)
	is.True(!host(other, 7).Gone(clock.Now()))
}

// Guards against new flows to a backend server that has ended, since a VM that could not read the platform learns of the lapse late and
// passes on more time to return.
func TestLapseIsNotExtendedByAVMThatLearnsOfItLater(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, late := startedRegistry(t, clock), startedRegistry(t, clock)
	clock.Advance(time.Minute)
	r.ReadFailed()
	r.ReadSucceeded(clock.Now())
	apply(t, r, Change{Revision: 11, ID: 7, Removed: true})
	goneAt := host(r, 7).GoneAt
	late.ReadFailed()
	clock.Advance(20 * time.Second)
	late.ReadSucceeded(clock.Now())
	is.NoErr(late.Restore(Snapshot{Revision: 12, Changes: []Change{configChange(2, 3), hostChange(4, 8)}, SentAt: clock.Now()}))
	is.True(!host(late, 7).Gone(clock.Now()))
	is.NoErr(r.Merge(late.Since(r.DeltaRequest())))
	is.Equal(r.Revision(), pimid.Revision(12))
	is.Equal(host(r, 7).GoneAt, goneAt)

	// One that has returned and lapsed again has more time.
	returned := hostChange(13, 7)
	returned.Host.Sequence++
	apply(t, late, returned)
	late.ReadFailed()
	late.ReadSucceeded(clock.Now())
	apply(t, late, Change{Revision: 14, ID: 7, Removed: true})
	is.NoErr(r.Merge(late.Since(r.DeltaRequest())))
	is.True(!host(r, 7).Gone(clock.Now()))
}

// Guards against new flows to a backend server whose entry has expired although the platform is reachable.
func TestEntryThatExpiresWhileThePlatformIsReachableHasEnded(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: 11, ID: 7, Removed: true})
	is.True(host(r, 7).Gone(clock.Now()))
}

// Guards against waiting for the return of a backend server that was published as leaving.
func TestLeavingEntryThatDisappearsInAnOutageHasEnded(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	leaving := hostChange(11, 7)
	leaving.Host.Leaving = true
	apply(t, r, leaving)
	is.True(!host(r, 7).AcceptsNewFlows(clock.Now()))
	is.True(!host(r, 7).Gone(clock.Now())) // its open flows go on
	r.ReadFailed()
	r.ReadSucceeded(r.clock.Now())
	apply(t, r, Change{Revision: 12, ID: 7, Removed: true})
	is.True(host(r, 7).Gone(clock.Now()))
}

// Guards against packets for an ended backend server that reach another one with the same address.
func TestReusedAddressEndsTheOlderBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	successor := hostChange(11, 9)
	successor.Host.Address, successor.Host.Service = host(r, 7).Address, "store"
	services := configChange(12, 4, route(1, time.Second))
	services.Config.Services = append(services.Config.Services, "store")
	apply(t, r, successor, services)
	is.True(host(r, 7).Gone(clock.Now()))
	is.True(!host(r, 9).Gone(clock.Now()))
}

// Guards against a living backend server whose open flows are reset, and that gets no new ones, because another writer has left an
// entry with its address: one of a service that no configuration names, or a copy of its own entry with its start or without
// one. The entry may come first, later, or from another VM, and it may be removed again.
func TestEntryOfAnotherWriterWithTheSameAddressIsIgnored(t *testing.T) {
	unnamed, repeated, unstarted := hostChange(20, 99), hostChange(20, 99), hostChange(20, 99)
	unnamed.Host.Service, unnamed.Host.StartedAt = "notices", 2000
	repeated.Host.StartedAt = 1000
	own := hostChange(6, 7)
	own.Host.StartedAt = 1000
	for name, odd := range map[string]Change{"unknown service": unnamed, "same start": repeated, "no start": unstarted} {
		odd.Host.Address = own.Host.Address
		list := Snapshot{Revision: 21, Changes: []Change{configChange(5, 3, route(1, time.Second)), own, odd}}
		for path, deliver := range map[string]func(t *testing.T, r *Registry){
			"watch":   func(t *testing.T, r *Registry) { apply(t, r, own, odd) },
			"removed": func(t *testing.T, r *Registry) { apply(t, r, own, odd, Change{Revision: 22, ID: 99, Removed: true}) },
			"list":    func(t *testing.T, r *Registry) { is.New(t).NoErr(r.Restore(list)) },
			"listed first": func(t *testing.T, r *Registry) {
				reversed := Snapshot{Revision: list.Revision, Changes: slices.Clone(list.Changes)}
				slices.Reverse(reversed.Changes)
				is.New(t).NoErr(r.Restore(reversed))
			},
			"other VM": func(t *testing.T, r *Registry) {
				other := newRegistry(r.clock)
				is.New(t).NoErr(other.Restore(list))
				is.New(t).NoErr(r.Merge(other.Since(r.DeltaRequest())))
			},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				is := is.New(t)
				clock := &pimclock.Manual{}
				r := newRegistry(clock)
				r.ReadSucceeded(r.clock.Now())
				is.NoErr(r.Restore(Snapshot{Revision: 5, Changes: []Change{configChange(5, 3, route(1, time.Second))}}))
				clock.Advance(time.Minute)
				r.ReadSucceeded(r.clock.Now())
				deliver(t, r)
				is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
				is.Equal(host(r, 7).Service, pimcatalog.Service("desk"))
			})
		}
	}
}

// Guards against VMs that disagree about the owner of an address, since one has read the platform and the other has got the
// entries from it.
func TestReusedAddressEndsTheOlderBackendServerOnAllVMs(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	reader, other := startedRegistry(t, clock), startedRegistry(t, clock)
	successor := hostChange(11, 9)
	successor.Host.Address = host(reader, 7).Address
	apply(t, reader, successor)
	is.NoErr(other.Merge(reader.Since(other.DeltaRequest())))
	for _, r := range []*Registry{reader, other} {
		is.True(host(r, 7).Gone(clock.Now()))
		is.True(!host(r, 9).Gone(clock.Now()))
	}
}

// Guards against resets of the flows of a backend server because the run before it, at the same address, writes its entry once
// more: a write that was held up arrives after the machine has started again.
func TestLateEntryOfAnEarlierRunDoesNotEndTheNextOne(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	r.ReadSucceeded(r.clock.Now())
	earlier, next := hostChange(11, 9), hostChange(13, 10)
	earlier.Host.StartedAt, next.Host.StartedAt = 1000, 2000
	next.Host.Address = earlier.Host.Address
	again := earlier
	again.Revision, again.Created = 14, 14
	apply(t, r, earlier, Change{Revision: 12, ID: 9, Removed: true}, next, again)
	is.True(host(r, 10).AcceptsNewFlows(clock.Now()))
	after := hostChange(15, 11)
	after.Host.Address, after.Host.StartedAt = next.Host.Address, 3000
	apply(t, r, after)
	is.True(host(r, 10).Gone(clock.Now()))
	is.True(host(r, 9).Gone(clock.Now()))
}

// Guards against an unreadable entry, such as one of another writer, that crashes the VM or whose backend server still
// gets new flows.
func TestUnreadableEntryGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	apply(t, r, Change{Revision: 11, ID: 7, Fault: errors.New("a field is missing")})
	is.True(!host(r, 7).AcceptsNewFlows(clock.Now()))
	is.True(!host(r, 7).Gone(clock.Now()))
	apply(t, r, Change{Revision: 12, ID: 99, Fault: errors.New("a field is missing")})
	is.Equal(host(r, 99), nil)
}

// Guards against an entry of another writer whose name has the id of a backend server, and that takes it out of service, moves
// its flows to another address, or keeps it listed after its own entry has ended. Backend servers publish their start; for two entries
// that are complete but for it, see TestVMsAgreeOnEntriesWithOneID.
func TestEntryWithTheIDOfAnotherBackendServerIsIgnored(t *testing.T) {
	own := func(revision pimid.Revision) Change {
		c := hostChange(revision, 7)
		c.Host.StartedAt = 1000
		return c
	}
	other := hostChange(11, 7)
	other.Name, other.Host.Name = "copy-of-7", "copy-of-7"
	other.Host.Address = netip.MustParseAddrPort("10.1.64.9:9")
	for name, c := range map[string]Change{
		"unreadable": {Revision: 11, ID: 7, Name: "copy-of-7", Fault: errors.New("a field is missing")},
		"readable":   other,
		"removed":    {Revision: 11, ID: 7, Name: "copy-of-7", Removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &pimclock.Manual{}
			r := startedRegistry(t, clock)
			clock.Advance(time.Minute)
			apply(t, r, own(11), c)
			is.Equal(host(r, 7).Address, hostChange(6, 7).Host.Address)
			is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
			is.NoErr(r.Restore(Snapshot{Revision: 13, Changes: []Change{configChange(5, 3, route(1, time.Second)), own(12), c}}))
			is.Equal(host(r, 7).Address, hostChange(6, 7).Host.Address)
			is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
			is.NoErr(r.Restore(Snapshot{Revision: 14, Changes: []Change{configChange(5, 3, route(1, time.Second)), c}}))
			is.True(host(r, 7).Gone(clock.Now()))
		})
	}
}

// Guards against an entry of another writer that stands for a backend server since it has the number of its id and is read first:
// requests then ran at another service, the backend server got new flows while it was leaving, and its open flows were reset
// once the odd entry was removed.
func TestEntryOfABackendServerIsItsOwn(t *testing.T) {
	own, configuration := hostChange(6, 7), configChange(5, 3, route(1, time.Second))
	own.Host.StartedAt, own.Host.Sequence = 1000, 4
	configuration.Config.Services = append(configuration.Config.Services, "store")
	odd := func(change func(h *pimcatalog.Host)) Change {
		c := hostChange(3, 7)
		c.Name, c.Host.Name = "7", "7"
		c.Host.StartedAt = 1000
		change(c.Host)
		return c
	}
	for name, c := range map[string]Change{
		"no start":                 odd(func(h *pimcatalog.Host) { h.StartedAt = 0 }),
		"no start, other service":  odd(func(h *pimcatalog.Host) { h.StartedAt, h.Service = 0, "store" }),
		"unknown service":          odd(func(h *pimcatalog.Host) { h.Service = "notices" }),
		"no start, other address":  odd(func(h *pimcatalog.Host) { h.StartedAt, h.Address = 0, netip.MustParseAddrPort("10.1.64.9:9") }),
		"unreadable":               {Revision: 3, Created: 3, ID: 7, Name: "7", Fault: errors.New("a field is missing")},
		"unknown service, started": odd(func(h *pimcatalog.Host) { h.Service, h.StartedAt = "notices", 9000 }),
	} {
		late := c
		late.Revision, late.Created = 20, 20
		peer := newRegistry(&pimclock.Manual{})
		is.New(t).NoErr(peer.Restore(Snapshot{Revision: 20, Changes: []Change{configuration, late}}))
		for path, deliver := range map[string]func(r *Registry) error{
			"listed first": func(r *Registry) error {
				return r.Restore(Snapshot{Revision: 20, Changes: []Change{configuration, c, own}})
			},
			"written later": func(r *Registry) error {
				return r.Restore(Snapshot{Revision: 20, Changes: []Change{configuration, late, own}})
			},
			"listed last": func(r *Registry) error {
				return r.Restore(Snapshot{Revision: 20, Changes: []Change{configuration, own, late}})
			},
			"other VM": func(r *Registry) error {
				if err := r.Restore(Snapshot{Revision: 10, Changes: []Change{configuration, own}}); err != nil {
					return err
				}
				return r.Merge(Delta{From: 10, To: 20, Version: 3, Hosts: peer.Since(DeltaRequest{From: 10}).Hosts})
			},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				is := is.New(t)
				clock := &pimclock.Manual{}
				r := newRegistry(clock)
				r.ReadSucceeded(r.clock.Now())
				is.NoErr(deliver(r))
				clock.Advance(time.Minute)
				r.ReadSucceeded(r.clock.Now())
				is.Equal(host(r, 7).Service, pimcatalog.Service("desk"))
				is.Equal(host(r, 7).Address, own.Host.Address)
				is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
				leaving := own
				h := *own.Host
				leaving.Revision, leaving.Host, h.Leaving = 21, &h, true
				apply(t, r, leaving, Change{Revision: 22, ID: 7, Name: "7", Removed: true})
				is.True(!host(r, 7).AcceptsNewFlows(clock.Now()))
				is.True(!host(r, 7).Gone(clock.Now()))
				apply(t, r, Change{Revision: 23, ID: 7, Name: own.Name, Removed: true})
				is.True(host(r, 7).Gone(clock.Now()))
			})
		}
	}
}

// Guards against new flows to an entry of a service that no configuration names, against one whose service is published later and that
// gets no flows, and against open flows that end because a configuration drops their service.
func TestEntryOfAServiceThatNoConfigurationNamesGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	entry := hostChange(11, 99)
	entry.Host.Service = "notices"
	apply(t, r, entry)
	is.Equal(len(r.Catalog().Service("notices")), 0)
	is.Equal(len(r.Catalog().Published()), 2)
	is.Equal(len(r.Catalog().Unpublished()), 1)
	apply(t, r, naming(12, 4, "desk", "notices"))
	is.True(host(r, 99).AcceptsNewFlows(clock.Now()))
	is.Equal(len(r.Catalog().Service("notices")), 1)
	apply(t, r, naming(13, 5, "desk"))
	is.True(!host(r, 99).Gone(clock.Now()))
	is.Equal(len(r.Catalog().Service("notices")), 0)
}

// Guards against packets of an ended backend server that go to the address of an odd entry with its id, while its end is known.
func TestEntryOfAnotherWriterDoesNotReplaceAnEndedBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	r.ReadSucceeded(clock.Now())
	clock.Advance(time.Minute)
	apply(t, r, agentOf(11, 7, 5000), Change{Revision: 12, ID: 7, Name: "i-7", Removed: true}, agentOf(13, 7, 9000))
	is.True(host(r, 7).Gone(clock.Now()))
	apply(t, r, naming(14, 4, "video")) // also if its service is dropped then
	is.True(host(r, 7).Gone(clock.Now()))
}

// Guards against a repeated watch whose old copy of an entry restores a removed backend server.
func TestRepeatedChangesAreIgnored(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	apply(t, r, Change{Revision: 12, ID: 7, Removed: true})
	is.NoErr(r.Apply(Batch{From: 10, To: 14, Changes: []Change{hostChange(11, 7), hostChange(13, 9)}}))
	is.True(host(r, 7).Gone(clock.Now()))
	is.True(host(r, 9).AcceptsNewFlows(clock.Now()))
}

// Guards against a view that counts as fresh although neither the platform nor another VM confirms it, and against
// unknown backend servers that count as ended before lapsed entries had time to return.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	clock.Advance(time.Hour)
	r := newRegistry(clock)
	is.True(!r.Fresh(clock.Now()))
	readUnchanged(r, 0)
	is.True(r.Fresh(clock.Now()))
	is.True(!r.Settled(clock.Now()))
	clock.Advance(DefaultSettings(3 * time.Second).ReturnWithin)
	readUnchanged(r, 0)
	is.True(r.Settled(clock.Now()))
	clock.Advance(4 * time.Second)
	is.True(!r.Fresh(clock.Now()))
	r.Confirm(5, clock.Now().Add(-time.Second))
	is.True(r.Fresh(clock.Now()))
	is.True(!r.Settled(clock.Now())) // the time without a read counts as an outage
	is.NoErr(r.Restore(Snapshot{Revision: 10}))
	r.Confirm(9, clock.Now()) // a VM that is behind confirms nothing
	is.Equal(r.Age(clock.Now()), time.Second)
	is.Equal(r.Revision(), pimid.Revision(10))
}

// Guards against a view that counts as current at the end of a call, although the platform answered seconds before, and against
// a late response that makes a view look older than another VM has confirmed it.
func TestViewIsAsOldAsTheAnswerOfThePlatform(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	readUnchanged(r, 2*time.Second)
	is.Equal(r.Age(clock.Now()), 2*time.Second)
	clock.Advance(2 * time.Second)
	is.True(!r.Fresh(clock.Now()))
	r.Confirm(r.Revision(), clock.Now().Add(-time.Second))
	is.Equal(r.Age(clock.Now()), time.Second)
	readUnchanged(r, 3*time.Second)
	is.Equal(r.Age(clock.Now()), time.Second)
}

// Guards against a reset of an open flow by a catalog that lacks its backend server, because the view counts as confirmed by a
// read whose changes are not in the catalog yet, or that were left out since parts of a delta are missing.
func TestViewIsConfirmedOnceTheReadIsApplied(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Second)
	r.ReadSucceeded(r.clock.Now())
	is.Equal(r.Age(clock.Now()), time.Second)
	apply(t, r, hostChange(11, 9))
	is.Equal(r.Age(clock.Now()), time.Duration(0))

	clock.Advance(time.Second)
	from := r.Revision()
	is.NoErr(r.Merge(Delta{From: from, To: 14, More: true, Hosts: []HostState{{Host: *hostChange(14, 10).Host}}}))
	r.ReadSucceeded(r.clock.Now())
	is.NoErr(r.Apply(Batch{From: from, To: 13, Changes: []Change{hostChange(13, 11)}}))
	is.Equal(r.Age(clock.Now()), time.Second)
	is.NoErr(r.Apply(Batch{From: 14, To: 15, Changes: []Change{hostChange(15, 12)}}))
	is.Equal(r.Age(clock.Now()), time.Duration(0))
}
