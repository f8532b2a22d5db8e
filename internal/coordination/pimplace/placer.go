package pimplace

import (
	"math/rand/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Placer chooses backend servers; it is owned by one goroutine.
type Placer struct {
	home   pimid.DataCentre
	policy pimpick.Policy
	rng    *rand.Rand
	// candidates is reused by each choice.
	candidates []*pimcatalog.Host
}

// New returns a placer for a VM of the given data centre.
func New(home pimid.DataCentre, policy pimpick.Policy, rng *rand.Rand) *Placer {
	return &Placer{home: home, policy: policy, rng: rng}
}

// Place chooses among the backend servers of the own data centre, or among all others if none is there; it returns nil
// if there is none at all.
func (p *Placer) Place(
	now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, _ *pimpacket.Packet,
) *pimcatalog.Host {
	hosts := c.Service(p.service(route))
	if p.collect(now, hosts, true); len(p.candidates) == 0 {
		p.collect(now, hosts, false)
	}
	if len(p.candidates) == 0 {
		return nil
	}
	return p.candidates[p.policy.Choose(p.rng, len(p.candidates), func(int) float64 { return 0 })]
}

func (p *Placer) collect(now pimclock.Instant, hosts []*pimcatalog.Host, home bool) {
	p.candidates = p.candidates[:0]
	for _, h := range hosts {
		if h.Open(now) && (!home || h.DataCentre == p.home) {
			p.candidates = append(p.candidates, h)
		}
	}
}

// service chooses a service by the weights of the route.
func (p *Placer) service(route *pimcatalog.Route) pimcatalog.Service {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0
	for _, s := range route.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
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
