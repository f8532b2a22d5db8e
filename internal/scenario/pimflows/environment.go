package pimflows

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// services is the number of services; each has one contract per customer.
const (
	services  = 2
	customers = 2
	flowPort  = 5555
)

// host is a simulated backend server; the views of the VMs may differ from it.
type host struct {
	backend pimview.Backend
	flows   map[*flow]bool
	// dead is true if the backend server died without notice, down if it no longer runs for any reason.
	dead, down bool
	// removedAt is the unix time in seconds at which the platform removes or removed it; zero before a removal is
	// planned.
	removedAt int64
}

// environment is the part of the simulation outside the VMs: the platform and the backend servers.
type environment struct {
	rng *rand.Rand
	// now is the wall clock in unix seconds.
	now int64
	// views holds all published views; the one at index i has revision i+1.
	views []*pimview.View
	// derived holds for each view the data that the VMs derive from it.
	derived []*derived
	// publishedAt holds for each view its time of publication in unix seconds.
	publishedAt []int64
	hosts       map[netip.AddrPort]*host
	leaving     []*host
	removed     []*host
	nextBackend pimid.BackendID
	nextKey     uint8
}

func newEnvironment(cfg *Config, now int64) *environment {
	e := &environment{rng: rand.New(rand.NewPCG(cfg.Seed, 0)), now: now, hosts: make(map[netip.AddrPort]*host)}
	v := &pimview.View{Backends: map[pimid.BackendID]pimview.Backend{}, Contracts: contracts()}
	for i := range services * cfg.Hosts {
		b := e.startHost(pimid.ServiceID(i%services+1), e.newAddress())
		v.Backends[b.ID] = b
	}
	e.addKey(v, now-int64(time.Hour/time.Second))
	e.append(v)
	return e
}

// customerPrefix returns the source prefix of the callers of one customer.
func customerPrefix(customer int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(customer), 0, 0}), 16)
}

func contracts() map[pimid.ContractID]pimcontract.Contract {
	all := make(map[pimid.ContractID]pimcontract.Contract)
	for i := range services * customers {
		c := pimcontract.Contract{ID: pimid.ContractID(i + 1), Service: pimid.ServiceID(i/customers + 1)}
		c.Sources = []netip.Prefix{customerPrefix(i % customers)}
		all[c.ID] = c
	}
	return all
}

// newAddress returns an unused address for the next backend server.
func (e *environment) newAddress() netip.AddrPort {
	n := e.nextBackend + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 8), byte(n)}), flowPort)
}

// startHost starts a new backend server at an address that an earlier one may have had.
func (e *environment) startHost(service pimid.ServiceID, address netip.AddrPort) pimview.Backend {
	e.nextBackend++
	b := pimview.Backend{
		ID: e.nextBackend, Generation: pimid.Generation(e.rng.Uint32()), Service: service, FlowAddress: address,
		State: pimview.BackendLive,
	}
	e.hosts[address] = &host{backend: b, flows: make(map[*flow]bool)}
	return b
}

func (e *environment) latest() *pimview.View { return e.views[len(e.views)-1] }

// append publishes a view under the next revision.
func (e *environment) append(v *pimview.View) {
	v.Revision = pimid.Revision(len(e.views) + 1)
	e.views = append(e.views, v)
	e.derived = append(e.derived, newDerived(v))
	e.publishedAt = append(e.publishedAt, e.now)
}

// publish publishes a changed copy of the latest view.
func (e *environment) publish(change func(*pimview.View)) {
	v := *e.latest()
	v.Backends = maps.Clone(v.Backends)
	v.Keys = append([]pimview.Key(nil), v.Keys...)
	change(&v)
	e.append(&v)
}

func (e *environment) addKey(v *pimview.View, publishedAt int64) {
	e.nextKey++
	secret := make([]byte, 16)
	for i := range secret {
		secret[i] = byte(e.rng.Uint32())
	}
	v.Keys = append(v.Keys, pimview.Key{ID: e.nextKey, Secret: secret, PublishedAt: time.Unix(publishedAt, 0)})
}

// rotateKey adds a new token key to the view and retires all others at the same instant.
func (e *environment) rotateKey(v *pimview.View) {
	for i := range v.Keys {
		if v.Keys[i].RetiredAt.IsZero() {
			v.Keys[i].RetiredAt = time.Unix(e.now, 0)
		}
	}
	e.addKey(v, e.now)
}
