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

// host is a backend server as it really is.
type host struct {
	backend pimview.Backend
	flows   map[*flow]bool
	// dead means that it died; down means that it does not run, for whatever reason.
	dead, down bool
	// removedAt is the unix time in seconds at which the platform removed it; zero while it is published.
	removedAt int64
}

// world is the platform and the backend servers.
type world struct {
	rng *rand.Rand
	// now is the wall clock in unix seconds.
	now int64
	// views are all published views; the one at index i has revision i+1.
	views []*pimview.View
	// derived are what VMs derive from the views.
	derived []*derived
	// publishedAt are their unix times in seconds.
	publishedAt []int64
	hosts       map[netip.AddrPort]*host
	leaving     []*host
	removed     []*host
	nextBackend pimid.BackendID
	nextKey     uint8
}

func newWorld(cfg *Config, now int64) *world {
	w := &world{rng: rand.New(rand.NewPCG(cfg.Seed, 0)), now: now, hosts: make(map[netip.AddrPort]*host)}
	v := &pimview.View{Backends: map[pimid.BackendID]pimview.Backend{}, Contracts: contracts()}
	for i := range services * cfg.Hosts {
		b := w.start(pimid.ServiceID(i%services+1), w.newAddress())
		v.Backends[b.ID] = b
	}
	w.addKey(v, now-int64(time.Hour/time.Second))
	w.append(v)
	return w
}

// customerPrefix holds the callers of one customer.
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

func (w *world) newAddress() netip.AddrPort {
	n := w.nextBackend + 1
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 8), byte(n)}), flowPort)
}

// start runs a new backend server at an address, which an earlier one may have had.
func (w *world) start(service pimid.ServiceID, address netip.AddrPort) pimview.Backend {
	w.nextBackend++
	b := pimview.Backend{
		ID: w.nextBackend, Generation: pimid.Generation(w.rng.Uint32()), Service: service, FlowAddress: address,
		State: pimview.BackendLive,
	}
	w.hosts[address] = &host{backend: b, flows: make(map[*flow]bool)}
	return b
}

func (w *world) latest() *pimview.View { return w.views[len(w.views)-1] }

func (w *world) append(v *pimview.View) {
	v.Revision = pimid.Revision(len(w.views) + 1)
	w.views = append(w.views, v)
	w.derived = append(w.derived, newDerived(v))
	w.publishedAt = append(w.publishedAt, w.now)
}

// publish appends a changed copy of the latest view.
func (w *world) publish(change func(*pimview.View)) {
	v := *w.latest()
	v.Backends = maps.Clone(v.Backends)
	v.Keys = append([]pimview.Key(nil), v.Keys...)
	change(&v)
	w.append(&v)
}

func (w *world) addKey(v *pimview.View, publishedAt int64) {
	w.nextKey++
	secret := make([]byte, 16)
	for i := range secret {
		secret[i] = byte(w.rng.Uint32())
	}
	v.Keys = append(v.Keys, pimview.Key{ID: w.nextKey, Secret: secret, PublishedAt: time.Unix(publishedAt, 0)})
}

// rotateKey publishes a new key and retires all others at the same moment.
func (w *world) rotateKey(v *pimview.View) {
	for i := range v.Keys {
		if v.Keys[i].RetiredAt.IsZero() {
			v.Keys[i].RetiredAt = time.Unix(w.now, 0)
		}
	}
	w.addKey(v, w.now)
}
