package pimsteer_test

import (
	"net/netip"
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
