package pimregistry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// largeRegistry returns a registry of n backend servers.
func largeRegistry(b *testing.B, n int) *Registry {
	b.Helper()
	s := Snapshot{Revision: pimid.Revision(n + 1), Changes: []Change{configChange(1, 1, route(1, time.Second))}}
	for i := range n {
		c := hostChange(pimid.Revision(i+2), pimcatalog.HostID(i+1))
		c.Host.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		s.Changes = append(s.Changes, c)
	}
	r := newRegistry(&pimclock.Manual{})
	r.ReadSucceeded(r.clock.Now())
	if err := r.Restore(s); err != nil {
		b.Fatal(err)
	}
	return r
}

var benchSizes = []int{150, 3000, 33000}

// BenchmarkChange measures one change of a backend server, and reports the memory of the view in MB.
func BenchmarkChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := largeRegistry(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				revision := r.Revision()
				c := hostChange(revision+1, 1)
				if err := r.Apply(Batch{From: revision, To: revision + 1, Changes: []Change{c}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		})
	}
}

// BenchmarkPart measures one part of the delta for a VM that starts, and reports its encoded size.
func BenchmarkPart(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			r := largeRegistry(b, n)
			size := 0
			for b.Loop() {
				d := r.Since(DeltaRequest{})
				data, err := pimmesh.Encode(&d)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/part")
		})
	}
}

// BenchmarkFirstConfiguration measures a list of n backend servers with n entries of another writer, and the first configuration after
// it: each entry has an id of a backend server, or all have that of one. It reports the memory of the view in MB.
func BenchmarkFirstConfiguration(b *testing.B) {
	for _, n := range benchSizes {
		for name, idOf := range map[string]func(i int) pimcatalog.HostID{
			"one beside each": func(i int) pimcatalog.HostID { return pimcatalog.HostID(i + 1) },
			"all with one id": func(int) pimcatalog.HostID { return 1 },
		} {
			s := Snapshot{Revision: pimid.Revision(2*n + 1)}
			for i := range n {
				agent := agentOf(pimid.Revision(2*i+2), idOf(i), 1000)
				agent.Name = fmt.Sprintf("host-%d", i)
				agent.Host.Name = agent.Name
				s.Changes = append(s.Changes, startedHost(pimid.Revision(2*i+1), pimcatalog.HostID(i+1)), agent)
			}
			b.Run(fmt.Sprint("hosts=", n, "/", name), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var r *Registry
				for b.Loop() {
					r = newRegistry(&pimclock.Manual{})
					if err := r.Restore(s); err != nil {
						b.Fatal(err)
					}
					if err := r.Apply(Batch{From: s.Revision, To: s.Revision + 1, Changes: []Change{naming(s.Revision+1, 1, "desk")}}); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(r)
			})
		}
	}
}
