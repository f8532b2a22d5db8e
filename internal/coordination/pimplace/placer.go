package pimplace

import (
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Load is what this VM and the others observe of a backend server.
type Load struct {
	pimflow.Load
	// BusyElsewhere and OpenElsewhere are the running requests and flows that the other VMs of the data centre see.
	BusyElsewhere, OpenElsewhere float64
	// AliveElsewhere is the last sign of life that they saw.
	AliveElsewhere pimclock.Instant
}

// Observer tells what was observed of flows and backend servers.
type Observer interface {
	Load(now pimclock.Instant, id pimcatalog.HostID) Load
	Tried(f pimpacket.Flow) (last, before pimcatalog.HostID)
}

// Placer chooses backend servers; it is owned by one goroutine.
type Placer struct {
	home     pimid.DataCentre
	observer Observer
	policy   pimpick.Policy
	rng      *rand.Rand
	// candidates and costs are reused by each choice.
	candidates []*pimcatalog.Host
	costs      []float64
}

// New returns a placer for a VM of the given data centre.
func New(home pimid.DataCentre, observer Observer, policy pimpick.Policy, rng *rand.Rand) *Placer {
	return &Placer{home: home, observer: observer, policy: policy, rng: rng}
}

// Place chooses a backend server for an opening packet; it returns nil if there is none.
func (p *Placer) Place(
	now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet,
) *pimcatalog.Host {
	last, before := p.observer.Tried(pkt.Flow)
	p.candidates, p.costs = p.candidates[:0], p.costs[:0]
	for _, h := range c.Service(p.service(route)) {
		if !h.Open(now) {
			continue
		}
		cost := p.cost(now, h)
		if h.ID == last || h.ID == before {
			cost += alreadyTriedCost
		}
		p.candidates, p.costs = append(p.candidates, h), append(p.costs, cost)
	}
	if len(p.candidates) == 0 {
		return nil
	}
	// A random order decides between equal costs, so that VMs that know nothing do not choose the same one.
	p.rng.Shuffle(len(p.candidates), func(i, j int) {
		p.candidates[i], p.candidates[j] = p.candidates[j], p.candidates[i]
		p.costs[i], p.costs[j] = p.costs[j], p.costs[i]
	})
	return p.candidates[p.policy.Choose(p.rng, len(p.candidates), func(i int) float64 { return p.costs[i] })]
}

// service chooses a service by the weights of the route.
func (p *Placer) service(route *pimcatalog.Route) pimcatalog.Service {
	total := 0
	for _, s := range route.Shares {
		total += max(0, s.Weight)
	}
	if len(route.Shares) == 1 || total == 0 {
		return route.Shares[0].Service
	}
	n := p.rng.IntN(total)
	for _, s := range route.Shares {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return route.Shares[0].Service
}
