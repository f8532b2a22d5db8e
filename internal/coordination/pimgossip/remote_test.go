package pimgossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var regionDataCentres = []pimid.DataCentre{"ikeja", "apapa", "lekki"}

// newLoadedRegion returns three data centres with n VMs in all, which report the given load of their data centre.
func newLoadedRegion(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := newRegion(t, regionDataCentres, n, 5*time.Second, seed)
	f.busy = map[pimid.DataCentre]int{"ikeja": 100, "apapa": 200, "lekki": 300}
	return f
}

// countKnowing returns the number of running VMs that know the current load of each other data centre.
func (f *fleet) countKnowing() (n int) {
	for _, v := range f.vms {
		known := 0
		for k, l := range v.mesh.RemoteLoads(f.now) {
			if l.Busy == float64(f.busy[k.DataCentre])*busyUnit && k.Service == "desk" && l.Hosts == 3 {
				known++
			}
		}
		if !v.down && known == len(regionDataCentres)-1 {
			n++
		}
	}
	return n
}

// Guards against data centres that do not learn the load of each other because few VMs know VMs of other data centres, against
// many VMs that send it, and against control traffic above 5 KB a second.
func TestLoadOfOtherDataCentres(t *testing.T) {
	for _, n := range []int{6, 30, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newLoadedRegion(t, n, 1)
			f.run(30 * time.Second)
			is.Equal(f.countKnowing(), n)
			f.summaries = map[[2]pimid.DataCentre]int{}
			for _, v := range f.vms {
				v.bytes = 0
			}
			f.summaryBytes = 0
			const measured = 20
			f.run(measured * time.Second)
			most, bytes := 0, 0
			for _, sent := range f.summaries {
				most = max(most, sent)
			}
			for _, v := range f.vms {
				bytes = max(bytes, v.bytes/measured)
			}
			t.Logf("%d VMs: up to %.2f summaries a second for a pair of data centres, %d bytes each; %d bytes a second sent by the busiest VM",
				n, float64(most)/measured, f.summaryBytes, bytes)
			is.Equal(len(f.summaries), 6) // all pairs
			is.True(most <= measured+2)
			is.True(bytes < 5000)
			f.busy["apapa"] = 700
			f.run(5 * time.Second)
			is.True(f.countKnowing() > n*9/10)
		})
	}
}

// Guards against a data centre whose load is known no longer because the VMs that sent it have failed.
func TestLoadOfOtherDataCentresAfterFailures(t *testing.T) {
	is := is.New(t)
	f := newLoadedRegion(t, 18, 2)
	f.run(30 * time.Second)
	down := 0
	for _, v := range f.vms[3:] {
		if v.mesh.SendsSummaries(f.now) {
			v.down = true
			down++
		}
	}
	is.True(down > 0)
	f.run(30 * time.Second)
	is.Equal(f.countKnowing(), len(f.vms)-down)
}

// Guards against loads of data centres that were cut off long ago, and against cuts that stay after their end.
func TestLoadsOfACutDataCentreAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newLoadedRegion(t, 18, 3)
	f.run(30 * time.Second)
	is.Equal(f.countKnowing(), 18)
	f.blocked = func(from, to *vm) bool { return from.mesh.cfg.DataCentre != to.mesh.cfg.DataCentre }
	f.run(f.vms[0].mesh.cfg.SummaryTTL + step)
	for _, v := range f.vms {
		is.Equal(len(v.mesh.RemoteLoads(f.now)), 0)
	}
	f.run(2 * time.Minute)
	f.blocked = nil
	f.run(30 * time.Second)
	is.Equal(f.countKnowing(), 18)
}

// Guards against damaged or late loads of other data centres, loads of the own one, and a table without a bound.
func TestOddRemoteLoadsAreIgnored(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre = "vm-0", "ikeja"
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	receive := func(loads ...pimmesh.ServiceLoad) { m.ReceiveSummary(now, &pimmesh.Summary{Loads: loads}) }
	receive(pimmesh.ServiceLoad{DataCentre: "apapa", Service: "desk", Hosts: 2, Busy: 50, AgeMs: 100})
	receive(
		pimmesh.ServiceLoad{DataCentre: "apapa", Service: "desk", Hosts: 2, Busy: 90, AgeMs: 200}, // older
		pimmesh.ServiceLoad{DataCentre: "apapa", Service: "desk", Hosts: 2, Busy: 90, AgeMs: -5},
		pimmesh.ServiceLoad{DataCentre: "apapa", Service: "a", Hosts: 0},
		pimmesh.ServiceLoad{DataCentre: "apapa", Service: "b", Hosts: 1, Busy: -1},
		pimmesh.ServiceLoad{DataCentre: "apapa", Service: "c", Hosts: 1, AgeMs: 1 << 62},
		pimmesh.ServiceLoad{DataCentre: "ikeja", Service: "desk", Hosts: 1},
	)
	loads := m.RemoteLoads(now)
	is.Equal(len(loads), 1)
	is.Equal(loads[RemoteService{DataCentre: "apapa", Service: "desk"}].Busy, 0.5)
	for i := range 2 * maxRemoteLoads {
		receive(pimmesh.ServiceLoad{DataCentre: "apapa", Service: pimcatalog.Service(fmt.Sprint(i)), Hosts: 1})
	}
	is.Equal(len(m.RemoteLoads(now)), maxRemoteLoads)
	is.Equal(len(m.remotePeers), 0) // the summaries had no sender
}

// Guards against VMs of other data centres that stay known for ever because a time in a heartbeat overflows, against empty names, and
// against addresses to which nothing can be sent.
func TestOddRemotePeersAreIgnored(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-0", "ikeja", netip.MustParseAddrPort("10.0.0.1:7720")
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	address := netip.MustParseAddrPort("10.1.0.1:7720")
	for _, silent := range []int{-1, 61, 1 << 33, 1 << 34, 10_000_000_000, 14_000_000_000, math.MaxInt64, math.MinInt64} {
		m.addRemoteNamed(now, []pimmesh.RemotePeer{{DataCentre: "apapa", Name: "a", Address: address, SilentS: silent}})
		is.Equal(len(m.remotePeers), 0)
	}
	m.addRemoteNamed(now, []pimmesh.RemotePeer{{Name: "a", Address: address, SilentS: 1}, {DataCentre: "apapa", Name: "a", SilentS: 1}})
	m.ReceiveSummary(now, &pimmesh.Summary{
		Loads:  []pimmesh.ServiceLoad{{Service: "desk", Hosts: 1}, {DataCentre: "apapa", Hosts: 1}},
		Sender: pimmesh.RemotePeer{Name: "a", Address: address},
	})
	is.Equal(len(m.remotePeers), 0)
	is.Equal(len(m.RemoteLoads(now)), 0)
}

// Guards against data centres without a known VM that use up the number of data centres that are remembered.
func TestDataCentresWithoutVMsAreForgotten(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-0", "ikeja", netip.MustParseAddrPort("10.0.0.1:7720")
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	receive := func(dc pimid.DataCentre) {
		m.ReceiveSummary(now, &pimmesh.Summary{
			Sender: pimmesh.RemotePeer{DataCentre: dc, Name: "a", Address: netip.MustParseAddrPort("10.1.0.1:7720")},
		})
	}
	for i := range maxDataCentres {
		receive(pimid.DataCentre(fmt.Sprint(i)))
	}
	is.Equal(len(m.remotePeers), maxDataCentres)
	now = now.Add(m.removalTimeout() + time.Second)
	m.Tick(now, View{})
	is.Equal(len(m.remotePeers), 0)
	receive("apapa")
	is.Equal(len(m.remotePeers["apapa"]), 1)
}
