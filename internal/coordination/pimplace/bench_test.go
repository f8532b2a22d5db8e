package pimplace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// benchPlacer returns a placer of one of 22 VMs with 40 backend servers of its own data centre and 80 others, which all have the given
// number of requests under way.
func benchPlacer(busy int) *admitting {
	cfg := deskConfig()
	hosts := append(deskHosts(40, 1, "ikeja"), deskHosts(80, 41, "apapa")...)
	loads := map[pimcatalog.HostID]Load{}
	for _, h := range hosts {
		loads[h.ID] = Load{Load: pimflow.Load{Busy: busy, Open: busy}, BusyElsewhere: float64(busy)}
	}
	a := &admitting{loads: loads, cfg: cfg, catalog: pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(cfg), hosts)}
	observer := &fakeObserver{table: pimflow.New(pimflow.DefaultSettings()), loads: loads}
	a.Placer = New("ikeja", observer, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(1, 1)))
	var vms []string
	for i := range 21 {
		vms = append(vms, fmt.Sprintf("vm-%02d", i))
	}
	a.EnableAdmission(pimadmit.DefaultSettings(), "vm-21")
	a.SetVMs(vms)
	return a
}

// BenchmarkAdmission measures one decision, which a VM with 0.045 of a core takes 250 times a second.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name string
		busy int
	}{{"idle", 0}, {"full", 20}} {
		b.Run(c.name, func(b *testing.B) {
			a := benchPlacer(c.busy)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				a.Place(0, a.catalog, &a.cfg.Routes[i%2], &pimpacket.Packet{Flags: pimpacket.Open})
				i++
			}
		})
	}
}

// Guards against garbage on the path of each new flow: a VM has 32 MB and 0.045 of a core.
func TestPlaceDoesNotAllocate(t *testing.T) {
	for _, busy := range []int{0, 20} {
		a := benchPlacer(busy)
		pkt := &pimpacket.Packet{Flags: pimpacket.Open}
		if n := testing.AllocsPerRun(100, func() { a.Place(0, a.catalog, &a.cfg.Routes[1], pkt) }); n != 0 {
			t.Errorf("%v allocations with %d requests under way", n, busy)
		}
	}
}

// largeService returns a placer with a flow table of one of 381 VMs, and a catalog with a service of 2,200 backend servers in each of 15
// data centres, all of which are busy. Without priorities, its routes have the same one.
func largeService(hasPriorities bool) *admitting {
	cfg := deskConfig()
	if !hasPriorities {
		cfg.Routes[1].Priority = cfg.Routes[0].Priority
	}
	const perDataCentre, vms, busyHere, busyElsewhere = 2200, 381, 20, 12
	rng := rand.New(rand.NewPCG(1, 1))
	var hosts []*pimcatalog.Host
	table := pimflow.New(pimflow.DefaultSettings())
	elsewhere := map[pimcatalog.HostID]pimflow.Elsewhere{}
	for dc := range 15 {
		name := pimid.DataCentre("ikeja")
		if dc > 0 {
			name = pimid.DataCentre(fmt.Sprintf("dc-%d", dc))
		}
		for range perDataCentre {
			h := &pimcatalog.Host{ID: pimcatalog.HostID(rng.Uint64()), Service: "desk", DataCentre: name, Slots: 2}
			hosts = append(hosts, h)
			if dc == 0 {
				elsewhere[h.ID] = pimflow.Elsewhere{Busy: busyElsewhere}
			}
		}
	}
	a := &admitting{cfg: cfg, catalog: pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(cfg), hosts)}
	table.SetElsewhere(1, maps.All(elsewhere))
	a.Placer = New("ikeja", &fakeObserver{table: table}, pimpick.LeastLoaded{}, rng)
	names := []string{}
	for i := range vms - 1 {
		names = append(names, fmt.Sprintf("vm-%03d", i))
	}
	a.EnableAdmission(pimadmit.DefaultSettings(), "vm-380")
	a.SetVMs(names)
	port := uint16(0)
	own, _ := a.allot(1, a.catalog, "desk")
	for _, s := range own.shares {
		for range busyHere {
			port++
			flow := pimpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)}
			table.RecordOpening(1, &pimpacket.Packet{Flow: flow, Flags: pimpacket.Open}, s.Host.ID)
		}
	}
	return a
}

// BenchmarkLargeService measures one decision if all backend servers of the data centre are full: at 250 new flows a second, 0.045 of a core is
// 180 microseconds for each.
func BenchmarkLargeService(b *testing.B) {
	for _, c := range []struct {
		name          string
		hasPriorities bool
	}{{"admission", true}, {"least_cost", false}} {
		b.Run(c.name, func(b *testing.B) {
			a := largeService(c.hasPriorities)
			now := pimclock.Instant(1)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(4 * time.Millisecond)
				a.Place(now, a.catalog, &a.cfg.Routes[1], &pimpacket.Packet{Flags: pimpacket.Open})
			}
		})
	}
}

func callerOf(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.8"), uint16(port))
}
