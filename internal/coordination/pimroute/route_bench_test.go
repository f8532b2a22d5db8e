package pimroute

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

func benchView(addresses, backends int) *pimview.View {
	v := benchContracts(addresses)
	v.Revision, v.Keys = 2, []pimview.Key{testKey(1)}
	v.Backends = make(map[pimid.BackendID]pimview.Backend, backends)
	for i := range backends {
		id := pimid.BackendID(i + 1)
		v.Backends[id] = pimview.Backend{ID: id, Generation: 1, Service: pimid.ServiceID(i % addresses)}
	}
	return v
}

// benchPackets returns packets of established flows to random backend servers.
func benchPackets(b *testing.B, v *pimview.View, addresses int) []*pimedge.Packet {
	rng := rand.New(rand.NewPCG(1, 1))
	packets := make([]*pimedge.Packet, 1<<14)
	for i := range packets {
		backend := v.Backends[pimid.BackendID(rng.IntN(len(v.Backends))+1)]
		contract := pimid.ContractID(int(backend.Service) * contractsPerAddress)
		tok := pimtoken.Token{
			Flags: pimtoken.FlagFlow, Service: backend.Service, Contract: contract, Backend: backend.ID, Generation: 1,
			IssuedAt: uint32(unixStart),
		}
		packets[i] = flowPacket(seal(b, &tok))
		packets[i].Service = pimid.ServiceID(int(backend.Service) % addresses)
	}
	return packets
}

func BenchmarkRouteEstablished(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("addresses=%d/backends=%d", size.addresses, size.backends), func(b *testing.B) {
			v := benchView(size.addresses, size.backends)
			packets, r := benchPackets(b, v, size.addresses), testRouter(b, &fakes{}, v)
			var a Action
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				r.Route(0, unixStart+60, packets[i%len(packets)], &a)
				if a.Rule != RuleEstablished {
					b.Fatal(a.Rule)
				}
				i++
			}
		})
	}
}

// BenchmarkUpdate measures an update to a view that differs by one backend server.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("addresses=%d/backends=%d", size.addresses, size.backends), func(b *testing.B) {
			v, next := benchView(size.addresses, size.backends), benchView(size.addresses, size.backends)
			delete(next.Backends, 1)
			r := testRouter(b, &fakes{}, v)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				changed := []*pimview.View{next, v}[i%2]
				changed.Revision = pimid.Revision(i + 3)
				if err := r.Update(unixStart, changed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
