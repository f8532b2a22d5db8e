package pimplace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
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
