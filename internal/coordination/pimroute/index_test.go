package pimroute

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// linearLookup is the reference implementation: the longest prefix of any contract of the service, then the lowest id.
func linearLookup(v *pimview.View, service pimid.ServiceID, addr netip.Addr) (best pimid.ContractID, found bool) {
	bits := -1
	for id, c := range v.Contracts {
		for _, p := range c.Sources {
			if c.Service != service || !p.Contains(addr) || p.Bits() < bits || p.Bits() == bits && id > best {
				continue
			}
			best, found, bits = id, true, p.Bits()
		}
	}
	return best, found
}

func randomAddr(rng *rand.Rand) netip.Addr {
	if rng.IntN(2) == 0 {
		return netip.AddrFrom4([4]byte{10, byte(rng.IntN(3)), byte(rng.IntN(4)), byte(rng.IntN(256))})
	}
	return netip.AddrFrom16([16]byte{0: 0xfd, 7: byte(rng.IntN(3)), 15: byte(rng.IntN(256))})
}

func randomContract(rng *rand.Rand, id pimid.ContractID) pimcontract.Contract {
	c := pimcontract.Contract{ID: id, Service: pimid.ServiceID(rng.IntN(4))}
	for range 1 + rng.IntN(6) {
		a := randomAddr(rng)
		c.Sources = append(c.Sources, netip.PrefixFrom(a, rng.IntN(a.BitLen()+1)).Masked())
	}
	return c
}

// Guards against an index that differs from the longest-prefix rule, when first built or after incremental changes.
func TestIndexFollowsTheLongestPrefixRule(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var x *index
	v := &pimview.View{}
	for round := range 200 {
		next := &pimview.View{Contracts: map[pimid.ContractID]pimcontract.Contract{}}
		for id, c := range v.Contracts {
			next.Contracts[id] = c
		}
		for range 3 {
			id := pimid.ContractID(rng.IntN(12))
			next.Contracts[id] = randomContract(rng, id)
			delete(next.Contracts, pimid.ContractID(rng.IntN(12)))
		}
		v, x = next, newIndex(next, x)
		for range 200 {
			service, addr := pimid.ServiceID(rng.IntN(5)), randomAddr(rng)
			want, wantOK := linearLookup(v, service, addr)
			if got, ok := x.lookup(service, addr); ok != wantOK || ok && got != want {
				t.Fatalf("round %d: service %d, %s: got %d %t, want %d %t", round, service, addr, got, ok, want, wantOK)
			}
		}
	}
}

// Guards against the refusal of callers on a dual-stack socket, and against a wrong contract at the ends of the address
// space.
func TestIndexAddressForms(t *testing.T) {
	is := is.New(t)
	c := pimcontract.Contract{Service: 1, Sources: []netip.Prefix{
		netip.MustParsePrefix("255.255.255.0/24"), netip.MustParsePrefix("::ffff:10.0.0.0/104"), {},
	}}
	x := newIndex(&pimview.View{Contracts: map[pimid.ContractID]pimcontract.Contract{0: c}}, nil)
	for addr, want := range map[string]bool{
		"255.255.255.255": true, "::ffff:255.255.255.1": true, "10.9.9.9": true, "9.255.255.255": false, "11.0.0.0": false,
		"::": false, "fe80::1%eth0": false,
	} {
		_, ok := x.lookup(1, netip.MustParseAddr(addr))
		is.Equal(ok, want) // address form
	}
	_, ok := x.lookup(1, netip.Addr{})
	is.True(!ok)
}

// Guards against a rebuild of all tables on each change, which 2,900 changes a day would make costly.
func TestIndexKeepsUnchangedTables(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	one, two := randomContract(rng, 1), randomContract(rng, 2)
	one.Service, two.Service = 1, 2
	old := newIndex(&pimview.View{Contracts: map[pimid.ContractID]pimcontract.Contract{1: one, 2: two}}, nil)
	two = randomContract(rng, 2)
	two.Service = 2
	x := newIndex(&pimview.View{Contracts: map[pimid.ContractID]pimcontract.Contract{1: one, 2: two}}, old)
	is.Equal(x.tables[1], old.tables[1])
	is.True(x.tables[2] != old.tables[2])
}
