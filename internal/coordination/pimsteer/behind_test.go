package pimsteer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var deskAddress = netip.MustParseAddrPort("198.18.0.1:443")

// vm is the part of a VM that decides about packets of open flows.
type vm struct {
	clock    *pimclock.Manual
	registry *pimregistry.Registry
	table    *pimflow.Table
}

func newVM(clock *pimclock.Manual) *vm {
	return &vm{
		clock: clock, registry: pimregistry.New(pimregistry.DefaultSettings(3*time.Second), clock, nil),
		table: pimflow.New(pimflow.DefaultSettings()),
	}
}

// list reads the complete list of the platform.
func (v *vm) list(t *testing.T, revision pimid.Revision, changes ...pimregistry.Change) {
	t.Helper()
	v.registry.ReadSucceeded(v.clock.Now())
	if err := v.registry.Restore(pimregistry.Snapshot{Revision: revision, Changes: changes}); err != nil {
		t.Fatal(err)
	}
}

// steer decides about a packet of an open flow.
func (v *vm) steer(tag pimcatalog.Tag) pimsteer.Verdict {
	now := v.clock.Now()
	view := pimsteer.View{
		Catalog: v.registry.Catalog(), Fresh: v.registry.Fresh(now), Settled: v.registry.Settled(now),
		AsOf:      now.Add(-v.registry.Age(now)),
		FirstSeen: func(p *pimpacket.Packet) pimclock.Instant { return v.table.FirstSeen(now, p) },
	}
	verdict := pimsteer.Steer(now, view, nil, &pimpacket.Packet{
		Flow:  pimpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Destination: deskAddress},
		Flags: pimpacket.Ack, Tag: tag, Data: 10,
	})
	if verdict.Action == pimsteer.Forward {
		v.table.RecordForwarded(now, &pimpacket.Packet{Flags: pimpacket.Ack, Tag: tag}, verdict.Host.ID)
	}
	return verdict
}

func desk(revision pimid.Revision, id pimcatalog.HostID) pimregistry.Change {
	return pimregistry.Change{Revision: revision, Created: revision, ID: id, Host: &pimcatalog.Host{
		ID: id, Service: "desk", Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.64.1"), uint16(id)),
	}}
}

func configuration() pimregistry.Change {
	return pimregistry.Change{Revision: 1, Config: &pimcatalog.Config{
		Version: 1, Services: []pimcatalog.Service{"desk"},
		Routes: []pimcatalog.Route{{Address: deskAddress, Shares: []pimcatalog.Share{{Service: "desk"}}}},
	}}
}

// Guards against a reset of an open flow by a VM that does not know its backend server yet: a VM that restarts lists the platform
// and opens flows to backend servers of which its neighbours learn only once another VM has taken over as the reader. The
// second backend server has ended before and has started again under its id.
func TestVMThatIsBehindResetsNoFlowOfANewerBackendServer(t *testing.T) {
	const restarted, added pimcatalog.HostID = 7, 8
	for name, id := range map[string]pimcatalog.HostID{"added": added, "started again": restarted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &pimclock.Manual{}
			clock.Advance(time.Hour)
			behind, ahead := newVM(clock), newVM(clock)
			behind.list(t, 10, configuration(), desk(6, restarted))
			clock.Advance(5 * time.Second)
			behind.registry.ReadSucceeded(clock.Now())
			is.NoErr(behind.registry.Apply(pimregistry.Batch{From: 10, To: 11, Changes: []pimregistry.Change{{Revision: 11, ID: restarted, Removed: true}}}))

			clock.Advance(500 * time.Millisecond)
			ahead.list(t, 13, configuration(), desk(12, restarted), desk(13, added))
			clock.Advance(500 * time.Millisecond)
			is.Equal(ahead.steer(id.Tag()).Action, pimsteer.Forward)
			is.True(behind.registry.Settled(clock.Now()))
			is.Equal(behind.steer(id.Tag()).Action, pimsteer.Drop)
			asOf := clock.Now().Add(-20 * time.Millisecond)
			clock.Advance(200 * time.Millisecond)
			behind.registry.Confirm(11, asOf) // read before the flow arrived here
			is.Equal(behind.steer(id.Tag()).Action, pimsteer.Drop)

			is.NoErr(behind.registry.Merge(ahead.registry.Since(behind.registry.DeltaRequest())))
			is.Equal(behind.steer(id.Tag()).Action, pimsteer.Forward)
		})
	}
}

// Guards against a flow that is never reset although its backend server ended before this VM started.
func TestFlowOfAnEndedBackendServerIsResetOnceTheViewIsConfirmed(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	clock.Advance(time.Hour)
	v := newVM(clock)
	v.list(t, 10, configuration(), desk(6, 7))
	clock.Advance(pimregistry.DefaultSettings(3 * time.Second).ReturnWithin)
	const ended pimcatalog.HostID = 9
	is.Equal(v.steer(ended.Tag()).Action, pimsteer.Drop)
	clock.Advance(200 * time.Millisecond)
	v.registry.Confirm(10, clock.Now())
	is.Equal(v.steer(ended.Tag()).Action, pimsteer.Reset)
}

// Guards against resets of flows at the backend servers of a service that a configuration has dropped, whose route stays, by a VM that
// starts after that configuration and learns of it from the platform or from another VM, also beside the entry of another writer.
func TestVMThatStartsLaterResetsNoFlowOfADroppedService(t *testing.T) {
	const id pimcatalog.HostID = 7
	trial := func(revision pimid.Revision) pimregistry.Change {
		c := desk(revision, id)
		c.Host.Service, c.Host.StartedAt = "trial", 1000
		return c
	}
	agent := trial(8)
	agent.Name, agent.Host.Name = "agent-7", "agent-7"
	agent.Host.Service, agent.Host.Address = "agent", netip.MustParseAddrPort("10.1.64.1:9100")
	both, one := configuration(), configuration()
	both.Config.Services = append(both.Config.Services, "trial")
	one.Revision, one.Config.Version = 9, 2
	learn := map[string]func(t *testing.T, v *vm, entries []pimregistry.Change){
		"list": func(t *testing.T, v *vm, entries []pimregistry.Change) { v.list(t, 10, append(entries, one)...) },
		"other VM": func(t *testing.T, v *vm, entries []pimregistry.Change) {
			other := newVM(v.clock)
			other.list(t, 8, append(entries, both)...)
			is := is.New(t)
			is.NoErr(other.registry.Apply(pimregistry.Batch{From: 8, To: 10, Changes: []pimregistry.Change{one}}))
			is.Equal(other.steer(id.Tag()).Action, pimsteer.Forward)
			is.NoErr(v.registry.Merge(other.registry.Since(v.registry.DeltaRequest())))
		},
		"configuration last": func(t *testing.T, v *vm, entries []pimregistry.Change) {
			v.list(t, 8, entries...)
			is.New(t).NoErr(v.registry.Apply(pimregistry.Batch{From: 8, To: 10, Changes: []pimregistry.Change{one}}))
		},
	}
	for name, entries := range map[string][]pimregistry.Change{"alone": {trial(6)}, "beside an agent": {trial(6), agent}} {
		for path, learn := range learn {
			t.Run(name+", "+path, func(t *testing.T) {
				is := is.New(t)
				clock := &pimclock.Manual{}
				clock.Advance(time.Hour)
				v := newVM(clock)
				learn(t, v, slices.Clone(entries))
				v.registry.Confirm(10, clock.Now())
				clock.Advance(pimregistry.DefaultSettings(3 * time.Second).ReturnWithin)
				v.registry.Confirm(10, clock.Now())
				is.True(v.registry.Settled(clock.Now()))
				verdict := v.steer(id.Tag())
				is.Equal(verdict.Action, pimsteer.Forward)
				is.Equal(verdict.Host.Address, trial(6).Host.Address)
				is.Equal(len(v.registry.Catalog().Service("trial")), 0)
			})
		}
	}
}
