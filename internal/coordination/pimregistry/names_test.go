package pimregistry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// startedHost is hostChange of a backend server that publishes its start.
func startedHost(revision pimid.Revision, id pimcatalog.HostID) Change {
	c := hostChange(revision, id)
	c.Host.StartedAt = 1000
	return c
}

// agentOf is a complete entry of another writer beside that of a backend server, of a service that no configuration names.
func agentOf(revision pimid.Revision, id pimcatalog.HostID, startedAt int64) Change {
	c := hostChange(revision, id)
	c.Name = fmt.Sprintf("host-%x", uint64(id))
	c.Host.Name, c.Host.Service, c.Host.StartedAt = c.Name, "agent", startedAt
	c.Host.Address = netip.AddrPortFrom(c.Host.Address.Addr(), 9100)
	return c
}

// naming is a configuration that names some services.
func naming(revision pimid.Revision, version pimcatalog.Version, services ...pimcatalog.Service) Change {
	c := configChange(revision, version, route(1, time.Second))
	c.Config.Services = services
	return c
}

// readBefore are the ways in which a VM learns of entries that change between revision 2 and 10.
var readBefore = map[string]func(r *Registry, entries []Change) error{
	"list": func(r *Registry, entries []Change) error { return r.Restore(Snapshot{Revision: 10, Changes: entries}) },
	"watch": func(r *Registry, entries []Change) error {
		return errors.Join(r.Restore(Snapshot{Revision: 2}), r.Apply(Batch{From: 2, To: 10, Changes: entries}))
	},
	"urgent watch": func(r *Registry, entries []Change) error {
		err := r.Restore(Snapshot{Revision: 2})
		r.ApplyUrgent(Batch{From: 2, To: 10, Changes: entries})
		return err
	},
	"list of another VM": func(r *Registry, entries []Change) error {
		other := newRegistry(r.clock)
		return errors.Join(other.Restore(Snapshot{Revision: 10, Changes: entries}), r.Merge(other.Since(r.DeltaRequest())))
	},
	"delta of another VM": func(r *Registry, entries []Change) error {
		other := newRegistry(r.clock)
		err := errors.Join(r.Restore(Snapshot{Revision: 2}), other.Restore(Snapshot{Revision: 10, Changes: entries}))
		return errors.Join(err, r.Merge(other.Since(DeltaRequest{From: 2, Base: 10})))
	},
}

// configurations are versions that name the service of a backend server at last.
var configurations = map[string][]Change{
	"first configuration":  {naming(11, 1, "desk")},
	"same version twice":   {naming(11, 1, "desk"), naming(12, 1, "desk")},
	"service named later":  {naming(11, 1, "video"), naming(12, 2, "video", "desk")},
	"named again":          {naming(11, 1, "desk"), naming(12, 2, "video"), naming(13, 3, "desk")},
	"after two without it": {naming(11, 1), naming(12, 2), naming(13, 3, "desk")},
}

// Guards against backend servers that get no flows, since entries of another writer with the numbers of their ids were read before the
// configuration that tells them apart: the first one, or the first one that names their service.
func TestEntriesReadBeforeTheConfigurationThatNamesThem(t *testing.T) {
	for start, startedAt := range map[string]int64{"no start": 0, "earlier start": 500, "same start": 1000, "later start": 5000} {
		for order, entries := range map[string][]Change{
			"agent first": {agentOf(3, 7, startedAt), startedHost(6, 7)}, "agent last": {startedHost(6, 7), agentOf(8, 7, startedAt)},
		} {
			for path, read := range readBefore {
				for name, configs := range configurations {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", start, order, path, name), func(t *testing.T) {
						is := is.New(t)
						clock := &pimclock.Manual{}
						r := newRegistry(clock)
						r.ReadSucceeded(clock.Now())
						is.NoErr(read(r, entries))
						clock.Advance(time.Minute)
						r.ReadSucceeded(clock.Now())
						for _, c := range configs {
							apply(t, r, c)
						}
						is.Equal(len(r.Catalog().Service("desk")), 1)
						is.Equal(host(r, 7).Address, startedHost(6, 7).Host.Address)
						is.True(host(r, 7).AcceptsNewFlows(clock.Now()))

						apply(t, r, Change{Revision: 21, ID: 7, Name: "host-7", Removed: true})
						is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
						apply(t, r, Change{Revision: 22, ID: 7, Name: "i-7", Removed: true})
						is.True(host(r, 7).Gone(clock.Now()))
					})
				}
			}
		}
	}
}

// Guards against a backend server that stays hidden after an outage in which its entry has lapsed, since only the entry of another
// writer was left under its id when the configuration arrived.
func TestEntryThatReturnsAfterTheConfigurationIsUsed(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{agentOf(3, 7, 1000)}}))
	apply(t, r, naming(11, 1, "desk"))
	is.Equal(len(r.Catalog().Service("desk")), 0)
	apply(t, r, startedHost(12, 7))
	is.Equal(host(r, 7).Name, "i-7")
	r.ReadFailed()
	clock.Advance(20 * time.Second)
	r.ReadSucceeded(clock.Now())
	apply(t, r, Change{Revision: 13, ID: 7, Name: "i-7", Removed: true}, naming(14, 2, "desk", "video"))
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	apply(t, r, agentOf(15, 7, 9000), startedHost(16, 7))
	clock.Advance(time.Minute)
	is.Equal(host(r, 7).Name, "i-7")
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
}

// randomNamesakes returns a configuration and the last changes of some entries with one id. Their addresses differ.
func randomNamesakes(rng *rand.Rand) (changes []Change) {
	services := []pimcatalog.Service{"desk", "video", "agent"}
	for i, name := range []string{"7", "i-7", "x-7", "i-7-a"} {
		c := hostChange(pimid.Revision(2+i), 7)
		c.Name, c.Host.Name = name, name
		c.Host.Service, c.Host.StartedAt = services[rng.IntN(3)], int64(rng.IntN(3))
		c.Host.Address = netip.AddrPortFrom(c.Host.Address.Addr(), uint16(100+i))
		if rng.IntN(4) == 0 {
			c.Host, c.Fault = nil, errors.New("a field is missing")
		}
		changes = append(changes, c)
	}
	return append(changes, naming(1, 1, services[:1+rng.IntN(2)]...))
}

// used describes the entry that stands for an id.
func used(r *Registry) string {
	for _, service := range []pimcatalog.Service{"desk", "video", "agent"} {
		for _, h := range r.Catalog().Service(service) {
			return fmt.Sprintf("%s of %s at %v", h.Name, h.Service, h.Address)
		}
	}
	return "none"
}

// Guards against VMs that use different entries with the same id, by the order in which they have read them and the configuration.
func TestVMsAgreeOnEntriesWithOneID(t *testing.T) {
	const seeds, orders = 200, 12
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 7))
		changes, want := randomNamesakes(rng), ""
		for order := range orders {
			r := newRegistry(&pimclock.Manual{})
			r.ReadSucceeded(r.clock.Now())
			rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
			at := rng.IntN(len(changes) + 1)
			is.New(t).NoErr(r.Restore(Snapshot{Revision: 10, Changes: changes[:at]}))
			for i, c := range changes[at:] {
				c.Revision = 11 + pimid.Revision(i)
				apply(t, r, c)
			}
			if order == 0 {
				want = used(r)
			}
			if got := used(r); got != want {
				t.Fatalf("seed %d: one VM uses %s, another one %s", seed, want, got)
			}
		}
	}
}

// Guards against a backend server that ends, or stays after its end, when the VM that passes on its state is of an earlier version, which
// keeps one entry for each id and tells removals by the id alone.
func TestStateOfAnEarlierVersionWithEntriesOfOneID(t *testing.T) {
	own, agent := startedHost(6, 7), agentOf(8, 7, 9000)
	for name, tc := range map[string]struct {
		kept   Change
		isGone bool
	}{
		"keeps that of the backend server": {own, false},
		"has only that of another writer":  {agent, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &pimclock.Manual{}
			r := newRegistry(clock)
			r.ReadSucceeded(clock.Now())
			is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), own, agent}}))
			clock.Advance(time.Minute)
			is.NoErr(r.Merge(Delta{To: 12, Newest: 12, Version: 1, Hosts: []HostState{{Host: *tc.kept.Host}}}))
			is.Equal(host(r, 7).Name, own.Name)
			is.Equal(host(r, 7).Gone(clock.Now()), tc.isGone)
			is.True(!r.entries.get(keyOf(agent.Host)).Unlisted) // the sender may not have kept it
			is.NoErr(r.Merge(Delta{From: 12, To: 14, Version: 1, Removed: []RemovedHost{{ID: 7, Revision: 13}}}))
			is.True(host(r, 7).Gone(clock.Now()))
			is.True(!r.entries.get(keyOf(agent.Host)).Unlisted)
		})
	}
}

// Guards against a VM of an earlier version that ends a backend server, since the entry of another writer with its id was removed.
func TestRemovalBesideAnotherEntryIsNotThatOfTheID(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), startedHost(6, 7), agentOf(8, 7, 0), agentOf(9, 8, 0)}}))
	clock.Advance(time.Minute)
	apply(t, r, Change{Revision: 11, ID: 7, Name: "host-7", Removed: true}, Change{Revision: 12, ID: 8, Name: "host-8", Removed: true})
	clock.Advance(2 * endedHostRetention)
	apply(t, r, naming(13, 2, "desk"))
	d := r.Since(DeltaRequest{From: 10, Base: 10, Config: 1})
	is.Equal(d.Removed, []RemovedHost{{ID: 8, Name: "host-8", Revision: 12}})
	is.Equal(d.RemovedOthers, []RemovedHost{{ID: 7, Name: "host-7", Revision: 11}})

	other := newRegistry(clock)
	is.NoErr(other.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), startedHost(6, 7), agentOf(8, 7, 0)}}))
	is.NoErr(other.Merge(d))
	is.True(host(other, 7).AcceptsNewFlows(clock.Now()))
	is.Equal(other.entries.get(entryKey{7, "host-7"}).Unlisted, true)
}
