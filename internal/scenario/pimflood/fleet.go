package pimflood

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimsim"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// node is one VM, which accepts requests of callers and owns backend servers.
type node struct {
	id         pimid.NodeID
	dataCentre int
	sched      scheduler
	owners     *pimpick.Owners
	backOff    *pimpick.Backoff
	// waiting maps the pending offers at this owner to the callbacks for their decisions.
	waiting   map[pimslot.OfferID]func(pimslot.Decision)
	lastOffer pimslot.OfferID
	slots     int
}

// backend is one simulated backend server, which refuses requests when all its slots are in use.
type backend struct{ running int }

// fleet is the state of one run.
type fleet struct {
	*pimsim.Loop
	cfg      Config
	nodes    []*node
	backends map[pimid.BackendID]*backend
	// candidates lists the owners as the VMs of each data centre see them.
	candidates [dataCentres][]pimpick.Owner
	stats      *stats
}

func newFleet(cfg Config) *fleet {
	f := &fleet{Loop: pimsim.NewLoop(cfg.Seed), cfg: cfg, backends: map[pimid.BackendID]*backend{}, stats: newStats(cfg)}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{
			id: pimid.NodeID(i + 1), dataCentre: i % dataCentres,
			owners: pimpick.NewOwners(pimpick.PowerOfTwo{}), backOff: pimpick.NewBackoff(),
			waiting: map[pimslot.OfferID]func(pimslot.Decision){},
		})
	}
	f.assignHosts()
	f.Every(tickPeriod, f.tick)
	return f
}

// assignHosts assigns each backend server to an owner in its data centre by rendezvous hashing.
func (f *fleet) assignHosts() {
	owned := map[*node][]pimslot.Host{}
	for i := range hosts {
		id := pimid.BackendID(i + 1)
		f.backends[id] = &backend{}
		n := f.rendezvous(i%dataCentres, id)
		owned[n] = append(owned[n], pimslot.Host{ID: id, Generation: 1, Service: service, Slots: slotsPerHost})
	}
	for _, n := range f.nodes {
		core := pimslot.NewCore(pimslot.DefaultConfig())
		core.SetHosts(f.Now(), owned[n])
		if f.cfg.Policy == FIFO {
			n.sched = newFIFO(f.Now(), core)
		} else {
			core.SetPolicy(f.Now(), pimslot.Policy{Service: service, TotalSlots: totalSlots, Contracts: terms()})
			n.sched = core
		}
		n.slots = len(owned[n]) * slotsPerHost
		for centre := range f.candidates {
			owner := pimpick.Owner{Node: n.id, Slots: pimid.Slots(n.slots), Remote: centre != n.dataCentre}
			f.candidates[centre] = append(f.candidates[centre], owner)
		}
	}
}

// rendezvous returns the VM of the data centre with the highest hash for the backend server.
func (f *fleet) rendezvous(centre int, id pimid.BackendID) (best *node) {
	high := uint64(0)
	for _, n := range f.nodes {
		if n.dataCentre != centre {
			continue
		}
		score := xxhash.Sum64String(n.id.String() + "/" + id.String() + "/" + strconv.FormatUint(f.cfg.Seed, 10))
		if best == nil || score > high {
			best, high = n, score
		}
	}
	return best
}

// tick runs the timers of all owners and samples the use of their slots.
func (f *fleet) tick() {
	for _, n := range f.nodes {
		f.deliver(n, n.sched.Tick(f.Now()))
		f.stats.sample(f.Now(), n.sched.Load(service))
	}
}

// deliver passes each decision to the callback of its offer.
func (f *fleet) deliver(n *node, decisions []pimslot.Decision) {
	for _, d := range decisions {
		done := n.waiting[d.Offer]
		delete(n.waiting, d.Offer)
		done(d)
	}
}

// delay returns the one-way delay between two VMs, or between a VM and the backend servers that the other one owns.
func delay(a, b *node) time.Duration {
	if a.dataCentre != b.dataCentre {
		return remoteDelay
	}
	return localDelay
}
