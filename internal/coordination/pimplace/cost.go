package pimplace

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The costs of a backend server, in waiting requests per slot.
const (
	// openCost is the cost of an open flow: a caller that keeps a flow open sends about one request of 30 ms a second.
	openCost = 0.05
	// coldFactor multiplies the cost plus one of a backend server that has just started.
	coldFactor = 1.6
	// remoteCost is added for another data centre whose load is not known. A flow placed there breaks when the link between the
	// data centres fails, so this is worthwhile only if the local queues are nearly full.
	remoteCost = 8
	// crossingCost is added for another data centre whose load is known: the round trip and the risk of a disconnection. With
	// it, no flow crosses while a backend server of the own data centre has less than about four requests per slot; one that
	// takes eight requests in a queue for two slots refuses at five.
	crossingCost = 4
	// overloadedCrossingCost takes its place by degrees while the demand on the own data centre rises from demandMin to demandMax
	// for longer. The loads reported by other VMs are up to half a second old, so queues that are kept between four and five
	// requests per slot overflow: with crossingCost alone, 24% of the requests were refused in
	// TestOneDataCentreUnderFourTimesItsLoad.
	overloadedCrossingCost = 2
	demandMin, demandMax   = 2.5, 3.5
	// suspectCost is added for a backend server with recent flows without an answer (pimflow.Load.Suspect).
	suspectCost = 20
	// alreadyTriedCost is added for a backend server that has not answered an earlier transmission of this opening packet.
	alreadyTriedCost = 100
	// tieBreak is the largest random part of a cost, which breaks ties. A random first candidate alone would prefer the one that
	// follows several of higher cost.
	tieBreak = 1e-6
)

// cost returns the expected time until a new flow is served at a backend server, its wait and its own service time, plus the
// surcharges above except alreadyTriedCost, which Place adds. The unit is the mean service time of a request.
func (p *Placer) cost(now pimclock.Instant, h *pimcatalog.Host) float64 {
	load := p.observer.Load(now, h.ID)
	busy := float64(load.Busy) + load.BusyElsewhere
	open := float64(load.Open) + load.OpenElsewhere
	speed := load.speed()
	if p.isCounting {
		p.demand.count(p.weight*busy, p.weight*float64(max(1, h.Slots))*speed, h.DataCentre == p.home)
	}
	cost := (busy + openCost*open) / (float64(max(1, h.Slots)) * speed)
	crossing := 0.0
	if h.DataCentre != p.home {
		cost, crossing = p.remoteCosts(h, cost)
	}
	if h.ColdFor(now) > 0 {
		cost = (cost + 1) * coldFactor
	}
	cost += 1/speed + crossing
	if load.isSuspect(now) {
		cost += suspectCost
	}
	return cost
}

// remoteLoad is the load of a service in another data centre; isKnown is unset without a recent summary.
type remoteLoad struct {
	dataCentre pimid.DataCentre
	service    pimcatalog.Service
	perSlot    float64
	isKnown    bool
}

// remoteCosts returns the wait at a backend server of another data centre and the cost of crossing. The own data centre sees only
// its own requests there, which cause the given wait; the summary of the other one has the rest.
func (p *Placer) remoteCosts(h *pimcatalog.Host, own float64) (wait, crossing float64) {
	l := p.remoteLoad(h.DataCentre, h.Service)
	if !l.isKnown {
		return own, remoteCost
	}
	// Up to one request per slot, there is hardly a wait; a small cost prefers the data centre with the fewest requests.
	const full, preference = 1, 0.1
	all := own + l.perSlot
	return max(0, all-full) + preference*min(all, full), p.crossingCost(h.Service)
}

// demandTime is the time constant of the mean demand: a burst that the queues absorb is shorter.
const demandTime = time.Second

// demand is the mean number of requests of the own data centre per slot there, wherever they run, so that it does not fall when
// flows cross.
type demand struct {
	perSlot float64
	at      pimclock.Instant
	// home and remote are the requests in the own data centre and in the others, slots is the number of slots at the mean speed
	// in the own one. Those of the others were counted last at remoteAt.
	home, remote, slots float64
	remoteAt            pimclock.Instant
}

// remoteInterval is the time after which the requests in other data centres are counted again.
const remoteInterval = 100 * time.Millisecond

func (d *demand) isRemoteDue(now pimclock.Instant) bool { return now.Sub(d.remoteAt) >= remoteInterval }

// beginRemote begins to count the requests in other data centres.
func (d *demand) beginRemote(now pimclock.Instant) { d.remote, d.remoteAt = 0, now }

// count adds the requests at a backend server.
func (d *demand) count(busy, slots float64, isHome bool) {
	if !isHome {
		d.remote += busy
		return
	}
	d.home += busy
	d.slots += slots
}

// update updates the mean and begins to count the requests in the own data centre.
func (d *demand) update(now pimclock.Instant) {
	current := 0.0
	if d.slots > 0 {
		current = (d.home + d.remote) / d.slots
	}
	d.perSlot += (current - d.perSlot) * (1 - math.Exp(-float64(now.Sub(d.at))/float64(demandTime)))
	d.at, d.home, d.slots = now, 0, 0
}

// demandOf returns the demand for a service; zero before the first decision.
func (p *Placer) demandOf(service pimcatalog.Service) demand {
	if d := p.demands[service]; d != nil {
		return *d
	}
	return demand{}
}

func (p *Placer) setDemand(service pimcatalog.Service, current demand) {
	d := p.demands[service]
	if d == nil {
		d = &demand{}
		p.demands[service] = d
	}
	*d = current
}

func (p *Placer) crossingCost(service pimcatalog.Service) float64 {
	d := p.demandOf(service)
	overload := min(max(0, (d.perSlot-demandMin)/(demandMax-demandMin)), 1)
	return crossingCost + overload*(overloadedCrossingCost-crossingCost)
}

func (p *Placer) remoteLoad(dc pimid.DataCentre, service pimcatalog.Service) remoteLoad {
	for _, l := range p.remote {
		if l.dataCentre == dc && l.service == service {
			return l
		}
	}
	l := remoteLoad{dataCentre: dc, service: service}
	l.perSlot, l.isKnown = p.observer.Remote(dc, service)
	p.remote = append(p.remote, l)
	return l
}

// Demand is the load of a service in the data centre of this VM.
type Demand struct {
	// Hosts is the number of backend servers that accept new flows.
	Hosts int
	// PerSlot is the mean number of running requests per slot.
	PerSlot float64
}

// Summarise returns the load of each service at the backend servers of this VM's data centre.
func (p *Placer) Summarise(now pimclock.Instant, c *pimcatalog.Catalog) map[pimcatalog.Service]Demand {
	demands, slots := map[pimcatalog.Service]Demand{}, map[pimcatalog.Service]int{}
	for _, h := range c.Published() {
		if h.DataCentre != p.home || !h.AcceptsNewFlows(now) {
			continue
		}
		load, d := p.observer.Load(now, h.ID), demands[h.Service]
		d.Hosts++
		d.PerSlot += float64(load.Busy) + load.BusyElsewhere
		demands[h.Service] = d
		slots[h.Service] += max(1, h.Slots)
	}
	for service, d := range demands {
		d.PerSlot /= float64(slots[service])
		demands[service] = d
	}
	return demands
}

// speed returns the speed of a backend server relative to the mean, which is also that of one of unknown speed.
func (l *Load) speed() float64 {
	if l.Speed <= 0 {
		return 1
	}
	return l.Speed
}

// The misses of several VMs make a backend server suspect for suspectMin, which doubles with each further one up to suspectMax.
const (
	suspectMin = 500 * time.Millisecond
	suspectMax = 4 * time.Second
)

// isSuspect reports whether new flows avoid the backend server.
func (l *Load) isSuspect(now pimclock.Instant) bool { return l.Suspect || l.isSuspectElsewhere(now) }

// isSuspectElsewhere reports whether this VM and the others together have seen two or more flows without an answer, the last of
// them recently and after any sign of life. One miss alone counts only for the VM that saw it, since it may be a lost packet.
func (l *Load) isSuspectElsewhere(now pimclock.Instant) bool {
	const minMisses, maxDoublings = 2, 3
	misses := l.Misses + l.MissesElsewhere
	if l.MissesElsewhere == 0 || misses < minMisses {
		return false
	}
	last := max(l.MissedAt, l.MissedElsewhere)
	if last.Before(max(l.AliveAt, l.AliveElsewhere)) {
		return false
	}
	return now.Sub(last) < min(suspectMin<<min(misses-1, maxDoublings), suspectMax)
}
