package pimroute

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// benchSizes are numbers of service addresses and backend servers; the last pair is the size that the system is
// designed for.
var benchSizes = []struct{ addresses, backends int }{{100, 300}, {1000, 3000}, {8900, 33000}}

// Sizes of the contracts in the benchmarks.
const (
	contractsPerAddress = 3
	prefixesPerContract = 4
)

func benchPrefix(contract, i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(contract), byte(i * 16), 0}), 20+i)
}

func benchContracts(addresses int) *pimview.View {
	v := &pimview.View{Contracts: map[pimid.ContractID]pimcontract.Contract{}}
	for i := range addresses * contractsPerAddress {
		c := pimcontract.Contract{ID: pimid.ContractID(i), Service: pimid.ServiceID(i / contractsPerAddress)}
		for j := range prefixesPerContract {
			c.Sources = append(c.Sources, benchPrefix(i%contractsPerAddress, j))
		}
		v.Contracts[c.ID] = c
	}
	return v
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("addresses=%d", size.addresses), func(b *testing.B) {
			v := benchContracts(size.addresses)
			before := heapBytes()
			x := newIndex(v, nil)
			bytes := float64(heapBytes() - before)
			rng := rand.New(rand.NewPCG(1, 1))
			services := make([]pimid.ServiceID, 1<<12)
			for i := range services {
				services[i] = pimid.ServiceID(rng.IntN(size.addresses))
			}
			addr := netip.MustParseAddr("10.1.17.5")
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := x.lookup(services[i%len(services)], addr); !ok {
					b.Fatal("no contract")
				}
				i++
			}
			b.ReportMetric(bytes/float64(size.addresses), "B/address")
		})
	}
}

func BenchmarkIndexBuild(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("addresses=%d", size.addresses), func(b *testing.B) {
			v := benchContracts(size.addresses)
			b.ReportAllocs()
			for b.Loop() {
				newIndex(v, nil)
			}
		})
	}
}

// BenchmarkIndexChange measures the update of the index after the change of one contract.
func BenchmarkIndexChange(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("addresses=%d", size.addresses), func(b *testing.B) {
			v, changed := benchContracts(size.addresses), benchContracts(size.addresses)
			c := changed.Contracts[1]
			c.Sources = c.Sources[:1]
			changed.Contracts[1] = c
			x := newIndex(v, nil)
			b.ReportAllocs()
			for b.Loop() {
				newIndex(changed, x)
			}
		})
	}
}
