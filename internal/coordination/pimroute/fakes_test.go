package pimroute

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

const unixStart = int64(1_700_000_000)

var (
	self  = Home{Node: 1, Incarnation: 11}
	peer  = Home{Node: 2, Incarnation: 22}
	alice = netip.MustParseAddrPort("10.0.0.1:4000")
	bob   = netip.MustParseAddrPort("10.1.0.1:4000")
)

// fakes implements all dependencies of a router with fixed results.
type fakes struct {
	backend        pimid.BackendID
	full           bool
	refreshes      int
	newerPeer      pimid.NodeID
	newerPeerCalls int
	homes          map[Home]HomeStatus
	successor      map[Home]Home
	gone           bool
}

func (f *fakes) Place(pimclock.Instant, pimid.ServiceID) (pimid.BackendID, bool) {
	return f.backend, f.backend != 0
}

func (f *fakes) AdmitFlow(pimclock.Instant, pimid.ContractID) (bool, time.Duration) {
	return !f.full, 3 * time.Second
}
func (f *fakes) RefreshFlow(pimclock.Instant, pimid.ContractID) { f.refreshes++ }
func (f *fakes) HomeStatus(h Home) (HomeStatus, Home)           { return f.homes[h], f.successor[h] }

func (f *fakes) NewerPeer(pimid.Revision) (pimid.NodeID, bool) {
	f.newerPeerCalls++
	return f.newerPeer, f.newerPeer != 0
}

func (f *fakes) Gone(_ pimid.BackendID, generation pimid.Generation) bool {
	return f.gone && generation > 0
}

func testKey(id byte) pimview.Key {
	return pimview.Key{ID: id, Secret: []byte{id, 15: 1}}
}

// testView has services 1 and 2, each with two backend servers, a contract for alice and a contract for bob.
func testView() *pimview.View {
	v := &pimview.View{
		Revision: 5, Keys: []pimview.Key{testKey(1)},
		Backends:  map[pimid.BackendID]pimview.Backend{},
		Contracts: map[pimid.ContractID]pimcontract.Contract{},
	}
	for id := pimid.BackendID(1); id <= 4; id++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, 0, byte(id)}), 5555)
		v.Backends[id] = pimview.Backend{ID: id, Generation: 7, Service: pimid.ServiceID(id+1) / 2, FlowAddress: address}
	}
	for i, prefix := range []string{"10.0.0.0/16", "10.1.0.0/16", "10.0.0.0/16", "10.1.0.0/16"} {
		id := pimid.ContractID(i + 1)
		v.Contracts[id] = pimcontract.Contract{
			ID: id, Service: pimid.ServiceID(i/2 + 1), Sources: []netip.Prefix{netip.MustParsePrefix(prefix)},
		}
	}
	return v
}

func testRouter(t testing.TB, f *fakes, v *pimview.View) *Router {
	t.Helper()
	r := New(Config{Self: self, Rand: rand.New(rand.NewPCG(1, 2)), Placer: f, Admitter: f, Members: f, Hosts: f})
	if err := r.Update(unixStart, v); err != nil {
		t.Fatal(err)
	}
	return r
}

func seal(t testing.TB, tok *pimtoken.Token) []byte {
	t.Helper()
	ring, err := pimtoken.NewRing(mergeKeys(nil, &pimview.View{Keys: []pimview.Key{testKey(1)}}))
	if err != nil {
		t.Fatal(err)
	}
	var raw [pimtoken.Size]byte
	if err := ring.Seal(unixStart, tok, &raw); err != nil {
		t.Fatal(err)
	}
	return raw[:]
}

// flowToken returns a token for a flow of alice to backend server 1 of service 1.
func flowToken() pimtoken.Token {
	return pimtoken.Token{
		Flags: pimtoken.FlagFlow, Service: 1, Contract: 1, Backend: 1, Generation: 7, Home: peer.Node,
		HomeIncarnation: peer.Incarnation, Flow: 99, IssuedAt: uint32(unixStart),
	}
}

func flowPacket(token []byte) *pimedge.Packet {
	return &pimedge.Packet{Kind: pimedge.KindFlow, Observe: true, Service: 1, Source: alice, Token: token}
}
