package pimplace

import (
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Load is the load of a backend server as observed by this VM and by the other VMs.
type Load struct {
	pimflow.Load
	// BusyElsewhere and OpenElsewhere are the running requests and open flows reported by the other VMs of the data
	// centre.
	BusyElsewhere, OpenElsewhere float64
	// AliveElsewhere is the last sign of life that they reported.
	AliveElsewhere pimclock.Instant
}

// Observer provides observations of flows and backend servers.
type Observer interface {
	// Load returns the observed load of a backend server; zero if nothing is known.
	Load(now pimclock.Instant, id pimcatalog.HostID) Load
	// Tried returns the last two backend servers that have not answered earlier transmissions of an opening packet; zero
	// means none.
	Tried(f pimpacket.Flow) (last, before pimcatalog.HostID)
}

// Placer chooses backend servers for new flows; it must be used by one goroutine only.
type Placer struct {
	home     pimid.DataCentre
	observer Observer
	policy   pimpick.Policy
	rng      *rand.Rand
	// candidates and costs are buffers that Place reuses.
	candidates []*pimcatalog.Host
	costs      []float64
	// admission is nil if flows are never refused for lack of room.
	admission *admission
	// slowStart is nil if backend servers in slow start have no limit.
	slowStart SlowStart
}

// New returns a placer for a VM in the data centre home.
func New(home pimid.DataCentre, observer Observer, policy pimpick.Policy, rng *rand.Rand) *Placer {
	return &Placer{home: home, observer: observer, policy: policy, rng: rng}
}

// Place chooses a backend server for an opening packet.
func (p *Placer) Place(
	now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet,
) pimsteer.Placement {
	service := p.service(route)
	if p.admission != nil && c.Routes.HasPriorities(service) {
		return p.admit(now, c, service, route, pkt)
	}
	last, before := p.observer.Tried(pkt.Flow)
	p.candidates, p.costs = p.candidates[:0], p.costs[:0]
	reason := pimsteer.ReasonNoHost
	for _, h := range c.Service(service) {
		if excludedFor, ok := p.exclude(now, c, h); ok {
			reason = max(reason, excludedFor)
			continue
		}
		cost := p.cost(now, h)
		if h.ID == last || h.ID == before {
			cost += alreadyTriedCost
		}
		p.candidates, p.costs = append(p.candidates, h), append(p.costs, cost)
	}
	switch {
	case len(p.candidates) > 0:
	case reason == pimsteer.ReasonSlowStart:
		return p.refuseSlowStart(now, c, service, pkt, last != 0)
	default:
		return pimsteer.Placement{Reason: reason}
	}
	// The random order breaks ties, so that VMs without observations do not all choose the same backend server.
	p.rng.Shuffle(len(p.candidates), func(i, j int) {
		p.candidates[i], p.candidates[j] = p.candidates[j], p.candidates[i]
		p.costs[i], p.costs[j] = p.costs[j], p.costs[i]
	})
	chosen := p.policy.Choose(p.rng, len(p.candidates), func(i int) float64 { return p.costs[i] })
	return pimsteer.Placement{Host: p.candidates[chosen]}
}

// maxWeight bounds a weight, so that the sum of all weights of a route does not overflow.
const maxWeight = 1 << 31

func boundedWeight(s pimcatalog.Share) int64 { return int64(min(max(0, s.Weight), maxWeight)) }

// service chooses a service at random by the weights of the route; without weights it returns the first one. A route without
// shares, which another VM may have sent, has no service.
func (p *Placer) service(route *pimcatalog.Route) pimcatalog.Service {
	total := int64(0)
	for _, s := range route.Shares {
		total += boundedWeight(s)
	}
	switch {
	case len(route.Shares) == 0:
		return ""
	case len(route.Shares) == 1 || total == 0:
		return route.Shares[0].Service
	}
	n := p.rng.Int64N(total)
	for _, s := range route.Shares {
		if n -= boundedWeight(s); n < 0 {
			return s.Service
		}
	}
	return route.Shares[0].Service
}
