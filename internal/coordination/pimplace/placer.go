package pimplace

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
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
	// MissesElsewhere is the number of flows without an answer that they reported, and MissedElsewhere the time of the last one.
	MissesElsewhere int
	MissedElsewhere pimclock.Instant
}

// LoadOf returns what a flow table has observed of a backend server and what the other VMs have reported.
func LoadOf(now pimclock.Instant, t *pimflow.Table, id pimcatalog.HostID) Load {
	load, e := t.Loads(now, id)
	return Load{
		Load: load, BusyElsewhere: e.Busy, OpenElsewhere: e.Open, AliveElsewhere: e.AliveAt,
		MissesElsewhere: e.Misses, MissedElsewhere: e.MissedAt,
	}
}

// Observer provides observations of flows and backend servers.
type Observer interface {
	// Load returns the observed load of a backend server; zero if nothing is known.
	Load(now pimclock.Instant, id pimcatalog.HostID) Load
	// Tried returns the last two backend servers that have not answered earlier transmissions of an opening packet; zero
	// means none.
	Tried(f pimpacket.Flow) (last, before pimcatalog.HostID)
	// Remote returns the mean requests under way per slot of a service in another data centre, without those of the own data
	// centre; ok is unset if it is not known or no longer true.
	Remote(dc pimid.DataCentre, service pimcatalog.Service) (perSlot float64, ok bool)
	// Work returns the mean time of a request of a route, given by its published address; ok is unset if it is not known.
	Work(route netip.AddrPort) (d time.Duration, ok bool)
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
	// remote holds the loads of other data centres that the current call of Place has looked up.
	remote []remoteLoad
	// demands holds the demand for each service; demand is that of the current decision while isCounting is set.
	demands    map[pimcatalog.Service]*demand
	demand     demand
	isCounting bool
	// indexes holds those of the large services in the catalog indexed; sample is a buffer.
	indexes map[pimcatalog.Service]*hostIndex
	indexed *pimcatalog.Catalog
	sample  []*pimcatalog.Host
	// weight is the number of backend servers for which each one counts in the demand.
	weight float64
	// excluded is why backend servers were excluded from the current choice; see exclude. denied is the number of those that the
	// limit of their slow start excluded.
	excluded pimsteer.Reason
	denied   int
	// trace receives the candidates of the current decision; nil except in Explain.
	trace *trace
}

// New returns a placer for a VM in the data centre home.
func New(home pimid.DataCentre, observer Observer, policy pimpick.Policy, rng *rand.Rand) *Placer {
	return &Placer{home: home, observer: observer, policy: policy, rng: rng, demands: map[pimcatalog.Service]*demand{}}
}

// Place chooses a backend server for an opening packet.
func (p *Placer) Place(
	now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet,
) pimsteer.Placement {
	d := p.decide(now, c, p.service(route), route, pkt)
	p.apply(now, c, route, pkt, &d)
	return d.placement
}

// decision is the choice for an opening packet, with what apply records.
type decision struct {
	service   pimcatalog.Service
	placement pimsteer.Placement
	// denied is the number of backend servers that the limit of their slow start excluded.
	denied int
	// demand is the demand for the service with the requests that the decision has counted; only without admission.
	demand demand
	// index is that of a large service, nil for others. isIndexNew is set if it was made for this decision.
	index      *hostIndex
	isIndexNew bool
	// own is the share of this VM, nil without admission; the further fields have a meaning only with it. isOwnNew is set if it was
	// made for this decision.
	own      *allotment
	isOwnNew bool
	// activity is nil before the first placed flow of the service.
	activity *pimadmit.Activity
	level    pimadmit.Level
	// work is the mean time of a request of the route; zero if unknown.
	work time.Duration
	// fill is the mean fill of the own share, with that at this decision.
	fill meanFill
	// idleAway is the number of remembered backend servers of other data centres that have no more requests of this VM.
	idleAway int
	// isDeferred is set if no copy of the opening packet has been forwarded and the flow may be left to the next one.
	isDeferred bool
}

// decide chooses a backend server for an opening packet. It changes only the buffers of the placer, so that Explain can use it on a
// copy.
func (p *Placer) decide(
	now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, route *pimcatalog.Route, pkt *pimpacket.Packet,
) decision {
	d := decision{service: service}
	d.index, d.isIndexNew = p.indexFor(c, service)
	p.excluded, p.denied = pimsteer.ReasonNoHost, 0
	if p.usesAdmission(c, service) {
		p.admit(now, c, route, pkt, &d)
	} else {
		p.chooseLeastCost(now, c, pkt, &d)
	}
	d.denied = p.denied
	return d
}

// usesAdmission reports whether flows of a service may be refused for lack of room.
func (p *Placer) usesAdmission(c *pimcatalog.Catalog, service pimcatalog.Service) bool {
	return p.admission != nil && c.Routes.HasPriorities(service)
}

// apply records a decision.
func (p *Placer) apply(now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet, d *decision) {
	if d.isIndexNew {
		p.setIndex(c, d.service, d.index)
	}
	if d.denied > 0 {
		p.slowStart.RecordDenied(d.denied)
	}
	if d.own == nil {
		p.setDemand(d.service, d.demand)
		return
	}
	if d.idleAway > 0 {
		p.removeIdleAway(now, d.service)
	}
	if h := d.placement.Host; d.index != nil && h != nil && h.DataCentre != p.home {
		p.admission.recordAway(d.service, h)
	}
	p.admission.apply(now, c, route, pkt, d)
}

// chooseLeastCost chooses the backend server with the least cost.
func (p *Placer) chooseLeastCost(now pimclock.Instant, c *pimcatalog.Catalog, pkt *pimpacket.Packet, d *decision) {
	service := d.service
	p.candidates, p.costs, p.remote = p.candidates[:0], p.costs[:0], p.remote[:0]
	p.demand, p.isCounting = p.demandOf(service), true
	best := p.addCandidates(now, c, d, pkt.Flow, true)
	// In other data centres the cost is at least that of crossing and of the service time, so that most flows need no look at
	// their backend servers. The requests of the own data centre there are counted from time to time.
	if best > p.crossingCost(service)+1/pimflow.MaxSpeed || p.demand.isRemoteDue(now) {
		p.demand.beginRemote(now)
		p.addCandidates(now, c, d, pkt.Flow, false)
	}
	p.demand.update(now)
	d.demand, p.isCounting = p.demand, false
	switch {
	case len(p.candidates) > 0:
	case p.excluded == pimsteer.ReasonSlowStart:
		last, _ := p.observer.Tried(pkt.Flow)
		d.placement = p.refuseSlowStart(now, c, service, pkt, last != 0)
		return
	default:
		// The answer to an earlier copy may be on the way, and a reset could reach the caller after it.
		last, _ := p.observer.Tried(pkt.Flow)
		d.placement = pimsteer.Placement{Reason: p.excluded, Later: last != 0}
		return
	}
	chosen := p.policy.Choose(p.rng, len(p.candidates), func(i int) float64 { return p.costs[i] })
	d.placement.Host = p.candidates[chosen]
}

// addCandidates adds the backend servers of the own data centre, or those of the others, that may take a flow, and returns the least
// of their costs.
func (p *Placer) addCandidates(
	now pimclock.Instant, c *pimcatalog.Catalog, d *decision, f pimpacket.Flow, isHome bool,
) (best float64) {
	hosts := c.Service(d.service)
	p.weight = 1
	if d.index != nil {
		hosts, p.weight = p.sampled(d.index, isHome)
	}
	best = p.addAll(now, c, hosts, f, isHome)
	if math.IsInf(best, 1) && len(hosts) < len(c.Service(d.service)) {
		// All of the sample are excluded, but others may not be.
		p.weight = 1
		best = p.addAll(now, c, c.Service(d.service), f, isHome)
	}
	return best
}

// addAll is addCandidates for some backend servers of a service.
func (p *Placer) addAll(
	now pimclock.Instant, c *pimcatalog.Catalog, hosts []*pimcatalog.Host, f pimpacket.Flow, isHome bool,
) (best float64) {
	last, before := p.observer.Tried(f)
	best = math.Inf(1)
	// The random order and tieBreak keep VMs without observations from all choosing the same backend server.
	first := p.rng.IntN(max(1, len(hosts)))
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if (h.DataCentre == p.home) != isHome || p.isExcluded(now, c, h) {
			continue
		}
		cost := p.cost(now, h)
		if h.ID == last || h.ID == before {
			cost += alreadyTriedCost
		}
		p.trace.addCost(h, cost, isHome)
		cost += tieBreak * p.rng.Float64()
		p.candidates, p.costs = append(p.candidates, h), append(p.costs, cost)
		best = min(best, cost)
	}
	return best
}

// maxWeight bounds a weight, so that the sum of all weights of a route does not overflow.
const maxWeight = 1 << 31

func boundedWeight(s pimcatalog.Share) int64 { return int64(min(max(0, s.Weight), maxWeight)) }

func totalWeight(route *pimcatalog.Route) (total int64) {
	for _, s := range route.Shares {
		total += boundedWeight(s)
	}
	return total
}

// service chooses a service at random by the weights of the route; without weights it returns the first one. A route without
// shares, which another VM may have sent, has no service.
func (p *Placer) service(route *pimcatalog.Route) pimcatalog.Service {
	total := totalWeight(route)
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
