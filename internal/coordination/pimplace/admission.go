package pimplace

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// admission places the flows of services whose routes have different priorities. The VM fills its own share of the backend servers, whose
// load it knows exactly, and uses others only if they seem to have free slots.
type admission struct {
	cfg    pimadmit.Settings
	choice *pimadmit.Choice
	// self and vms are the names of this VM and of all running VMs of the data centre.
	self string
	vms  []string
	// allotments follow from vms and catalog; that of a service is made with its first flow.
	catalog    *pimcatalog.Catalog
	allotments map[pimcatalog.Service]*allotment
	activity   map[pimcatalog.Service]*pimadmit.Activity
	pressure   map[pimcatalog.Service]*pimadmit.Pressure
	// remote is a buffer that addOthers reuses.
	remote []remoteShare
	// away holds the backend servers of other data centres with requests of this VM, for large services.
	away map[pimcatalog.Service][]awayHost
	// isPartial is set if some VMs have not reported their loads; fills is the mean fill of the own shares, which stands for theirs.
	isPartial bool
	fills     map[pimcatalog.Service]*meanFill
	// deferred holds the flows that were left to the next copy of their opening packet.
	deferred deferredFlows
}

// allotment is the share of this VM in the backend servers of one service.
type allotment struct {
	shares []pimadmit.Share
	isOwn  map[pimcatalog.HostID]bool
}

// EnableAdmission lets the placer refuse flows for lack of room; self is the name of this VM.
func (p *Placer) EnableAdmission(cfg pimadmit.Settings, self string) {
	p.admission = &admission{
		cfg: cfg, choice: pimadmit.NewChoice(cfg, p.rng), self: self, vms: []string{self},
		activity: map[pimcatalog.Service]*pimadmit.Activity{}, pressure: map[pimcatalog.Service]*pimadmit.Pressure{}, away: map[pimcatalog.Service][]awayHost{}, fills: map[pimcatalog.Service]*meanFill{},
		deferred: deferredFlows{at: map[pimpacket.Flow]deferral{}},
	}
}

// SetVMs sets the names of the other running VMs of the data centre, sorted.
func (p *Placer) SetVMs(names []string) {
	if a := p.admission; a != nil && !slices.Equal(a.vms, names) {
		a.vms, a.catalog = names, nil
	}
}

// SetReported sets whether the recent loads of all other running VMs are known; by default, they are.
func (p *Placer) SetReported(isComplete bool) {
	if a := p.admission; a != nil {
		a.isPartial = !isComplete
	}
}

// ServiceShare is the share of a VM in the backend servers of one service.
type ServiceShare struct {
	Service pimcatalog.Service
	// Places is the number of requests that the VM may have under way at the backend servers of its share, Filled that which it has.
	Places pimadmit.Places
	Filled int
}

// Shares returns the shares of the services that have had new flows since the last change of the catalog or of the VMs, by name.
func (p *Placer) Shares(now pimclock.Instant) (all []ServiceShare) {
	if p.admission == nil {
		return nil
	}
	for service, own := range p.admission.allotments {
		all = append(all, p.share(now, service, own))
	}
	slices.SortFunc(all, func(a, b ServiceShare) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

func (p *Placer) share(now pimclock.Instant, service pimcatalog.Service, own *allotment) ServiceShare {
	share := ServiceShare{Service: service}
	for _, s := range own.shares {
		share.Places += s.Places
		load := p.observer.Load(now, s.Host.ID)
		share.Filled += load.Busy + load.Expected
	}
	return share
}

// The bounds of the requests in other data centres while the own one has no room.
const (
	// maxRemoteLoad is the number of requests per slot up to which a data centre of known load gets requests of others.
	maxRemoteLoad = 0.5
	// maxUnknownRemote is the number of requests that a VM may have under way in a data centre of unknown load.
	maxUnknownRemote = 1
)

// remoteShare is what a VM may send to one other data centre.
type remoteShare struct {
	dataCentre pimid.DataCentre
	// slots are those of its backend servers, busy the requests of this VM there.
	slots, busy int
	best        *pimcatalog.Host
	bestLoad    float64
	ties        int
}

// admit chooses a backend server for an opening packet, or refuses it.
func (p *Placer) admit(now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet, d *decision) {
	a, service := p.admission, d.service
	own, isNew := p.allot(now, c, service)
	d.own, d.isOwnNew, d.activity = own, isNew, a.activity[service]
	d.work, _ = p.observer.Work(route.Address)
	demand := pimadmit.Demand{
		Level: d.activity.Level(now, route.Priority), Attempt: pkt.Attempt, Target: route.Target, Timeout: route.Timeout,
		Work: d.work, MeanWork: d.activity.MeanWork(),
	}
	d.level = demand.Level
	p.trace.setDemand(&demand)
	a.choice.Reset(&demand)
	last, before := p.observer.Tried(pkt.Flow)
	wasTried := func(id pimcatalog.HostID) bool { return id == last || id == before }
	busy, places := 0.0, pimadmit.Places(0)
	for _, s := range own.shares {
		busy += p.addOwn(now, c, s, wasTried(s.Host.ID))
		places += s.Places
	}
	d.fill = a.fillOf(service)
	d.fill.update(now, busy/float64(max(1, places))*(1+a.cfg.QueuePerSlot))
	isRemoteOpen := false
	if a.choice.OwnSlot() == nil {
		isRemoteOpen = p.addOthers(now, c, d, wasTried)
	}
	h, rule := a.choice.Decide(&demand, isRemoteOpen)
	if rule == pimadmit.NoCandidate && d.index != nil {
		// All of the sample are excluded, but others may not be.
		isRemoteOpen = p.addOthersOf(now, c, c.Service(service), false, d, wasTried)
		h, rule = a.choice.Decide(&demand, isRemoteOpen)
	}
	switch {
	case h != nil:
	case rule == pimadmit.NoCandidate && p.excluded == pimsteer.ReasonSlowStart:
		d.placement = p.refuseSlowStart(now, c, service, pkt, last != 0)
		return
	case rule == pimadmit.NoCandidate:
		d.placement = pimsteer.Placement{Reason: p.excluded, Later: last != 0, Rule: rule.String()}
		return
	case rule == pimadmit.NoRoom && a.deferred.mayBeOpen(now, pkt):
		// An earlier copy may have been forwarded, so a reset could break the flow that it has opened.
		h, rule = a.choice.LeastLoaded()
	case demand.MayWait() && !a.isPressureHigh(service):
		d.isDeferred = true
		d.placement = pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Later: true, Rule: rule.String()}
		return
	default:
		// A copy of a flow that may be open is dropped, also if it has expired.
		isLater := last != 0 || a.deferred.mayBeOpen(now, pkt)
		// With an old view, the packet is dropped instead of answered with a reset, and its next copy follows.
		d.isDeferred = !isLater
		d.placement = pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Later: isLater, Rule: rule.String()}
		return
	}
	d.placement = pimsteer.Placement{Host: h, Rule: rule.String()}
}

// apply records a decision.
func (a *admission) apply(now pimclock.Instant, c *pimcatalog.Catalog, route *pimcatalog.Route, pkt *pimpacket.Packet, d *decision) {
	if a.catalog != c {
		a.catalog, a.allotments = c, map[pimcatalog.Service]*allotment{}
	}
	if d.isOwnNew {
		a.allotments[d.service] = d.own
	}
	a.setFill(d.service, d.fill)
	isPlaced := d.placement.Host != nil
	if isPlaced {
		a.deferred.remove(pkt.Flow)
		if d.activity == nil {
			d.activity = a.activityOf(d.service)
		}
		d.activity.Record(now, route.Priority)
		if d.work > 0 {
			d.activity.RecordWork(d.work)
		}
	}
	if d.isDeferred {
		a.deferred.add(now, pkt)
	}
	if d.level.Rank == 0 && (isPlaced || d.placement.Reason == pimsteer.ReasonNoRoom) {
		a.pressureOf(d.service).Record(now, isPlaced)
	}
}

// isPressureHigh reports whether flows of a service are refused at once instead of being left to the next copy.
func (a *admission) isPressureHigh(service pimcatalog.Service) bool {
	pressure := a.pressure[service]
	return pressure != nil && pressure.IsHigh()
}

func (a *admission) pressureOf(service pimcatalog.Service) *pimadmit.Pressure {
	pressure := a.pressure[service]
	if pressure == nil {
		pressure = &pimadmit.Pressure{}
		a.pressure[service] = pressure
	}
	return pressure
}

func (a *admission) activityOf(service pimcatalog.Service) *pimadmit.Activity {
	activity := a.activity[service]
	if activity == nil {
		activity = &pimadmit.Activity{}
		a.activity[service] = activity
	}
	return activity
}

// addOwn adds a backend server of the VM's own share, and returns the requests under way there.
func (p *Placer) addOwn(now pimclock.Instant, c *pimcatalog.Catalog, s pimadmit.Share, wasTried bool) (busy float64) {
	if p.isExcluded(now, c, s.Host) {
		return 0
	}
	load := p.observer.Load(now, s.Host.ID)
	if load.isSuspect(now) || wasTried {
		p.addAvoided(now, s.Host, wasTried)
		return load.UnderWay()
	}
	u := use(now, s.Host, &load, load.UnderWay(), float64(s.Places), float64(load.Open))
	p.add(pimadmit.Own, s.Host, &u)
	return load.UnderWay()
}

// addOthers adds the backend servers that do not belong to the own share. It reports whether the VM may send one more flow to
// another data centre.
func (p *Placer) addOthers(
	now pimclock.Instant, c *pimcatalog.Catalog, d *decision, wasTried func(pimcatalog.HostID) bool,
) (isRemoteOpen bool) {
	hosts := c.Service(d.service)
	if d.index != nil {
		hosts = p.sampledAll(d.index)
	}
	return p.addOthersOf(now, c, hosts, d.index != nil, d, wasTried)
}

// addOthersOf is addOthers for some backend servers; isSample is set if they are a sample of the index.
func (p *Placer) addOthersOf(
	now pimclock.Instant, c *pimcatalog.Catalog, hosts []*pimcatalog.Host, isSample bool, d *decision,
	wasTried func(pimcatalog.HostID) bool,
) (isRemoteOpen bool) {
	a := p.admission
	a.remote = a.remote[:0]
	for _, h := range hosts {
		if d.own.isOwn[h.ID] || p.isExcluded(now, c, h) {
			continue
		}
		load := p.observer.Load(now, h.ID)
		switch {
		case load.isSuspect(now) || wasTried(h.ID):
			p.addAvoided(now, h, wasTried(h.ID))
		case h.DataCentre == p.home:
			busy, open := a.sharedBusy(&load, max(1, h.Slots), &d.fill), float64(load.Open)+load.OpenElsewhere
			u := use(now, h, &load, busy, float64(max(1, h.Slots)), open)
			p.add(pimadmit.Shared, h, &u)
		default:
			perSlot := a.remoteShare(h.DataCentre).add(p.rng, h, load.Busy+load.Expected, slowdown(now, h))
			p.trace.add(pimadmit.Remote, h, &pimadmit.Use{Wait: perSlot}, false)
		}
	}
	if isSample {
		p.scaleRemote(now, d)
	}
	return p.addRemote(d.service)
}

func (a *admission) remoteShare(dc pimid.DataCentre) *remoteShare {
	for i := range a.remote {
		if a.remote[i].dataCentre == dc {
			return &a.remote[i]
		}
	}
	a.remote = append(a.remote, remoteShare{dataCentre: dc})
	return &a.remote[len(a.remote)-1]
}

// add adds a candidate for the choice.
func (p *Placer) add(kind pimadmit.Kind, h *pimcatalog.Host, u *pimadmit.Use) {
	isFull := p.admission.choice.Add(kind, h, *u)
	p.trace.add(kind, h, u, isFull)
}

// add adds a backend server with the requests of this VM there, and returns its load; of equal ones a random one is kept.
func (r *remoteShare) add(rng *rand.Rand, h *pimcatalog.Host, busy int, slowdown float64) (load float64) {
	slots := max(1, h.Slots)
	r.slots += slots
	r.busy += busy
	load = float64(busy) / float64(slots) * slowdown
	switch {
	case r.best == nil || load < r.bestLoad:
		r.best, r.bestLoad, r.ties = h, load, 1
	case load == r.bestLoad:
		if r.ties++; rng.IntN(r.ties) == 0 {
			r.best = h
		}
	}
	return load
}

// addRemote adds the best backend server of each other data centre, those in data centres with room for further requests of this VM
// first. It reports whether there is one.
func (p *Placer) addRemote(service pimcatalog.Service) (isOpen bool) {
	// closedLoad is above the load of any data centre with room.
	const closedLoad = 1e6
	p.remote = p.remote[:0]
	for i := range p.admission.remote {
		r := &p.admission.remote[i]
		others := p.remoteLoad(r.dataCentre, service)
		room := float64(maxUnknownRemote)
		if others.isKnown {
			room = (maxRemoteLoad - others.perSlot) * float64(r.slots) / float64(len(p.admission.vms)+1)
		}
		load, hasRoom := others.perSlot+r.bestLoad, float64(r.busy) < room
		if hasRoom {
			isOpen = true
		} else {
			load += closedLoad
		}
		p.admission.choice.Add(pimadmit.Remote, r.best, pimadmit.Use{Wait: load})
		p.trace.addRemote(r, others.perSlot, room, hasRoom)
	}
	return isOpen
}

// addAvoided adds a backend server that has not answered recently.
func (p *Placer) addAvoided(now pimclock.Instant, h *pimcatalog.Host, wasTried bool) {
	cost := p.cost(now, h)
	if wasTried {
		cost += alreadyTriedCost
	}
	p.add(pimadmit.Avoided, h, &pimadmit.Use{Wait: cost})
}

// use returns the use of a backend server with a number of requests under way, for which it has the given places or slots. One in slow
// start counts the new request as well: it has the fewest open flows, and would otherwise go before all warm ones that are idle.
func use(now pimclock.Instant, h *pimcatalog.Host, load *Load, busy, places, open float64) pimadmit.Use {
	u := pimadmit.Use{Fill: busy / places, Wait: busy / (places * load.speed()), Open: open}
	if h.ColdFor(now) > 0 {
		u.Wait = coldFactor * (busy + 1) / (places * load.speed())
	}
	return u
}

// slowdown is the factor by which requests take longer at a backend server that has just started.
func slowdown(now pimclock.Instant, h *pimcatalog.Host) float64 {
	if h.ColdFor(now) > 0 {
		return coldFactor
	}
	return 1
}

// allot returns the share of this VM in the backend servers of a service in the data centre. They are divided among its VMs again if
// either has changed; apply keeps it. A backend server whose tag belongs to another one gets no flows, thus has no share.
func (p *Placer) allot(now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service) (own *allotment, isNew bool) {
	a := p.admission
	if own := a.allotments[service]; own != nil && a.catalog == c {
		return own, false
	}
	var hosts []*pimcatalog.Host
	for _, h := range c.Service(service) {
		if h.DataCentre == p.home && h.AcceptsNewFlows(now) {
			hosts = append(hosts, h)
		}
	}
	own = &allotment{shares: pimadmit.Allot(a.cfg, hosts, a.vms, a.self), isOwn: map[pimcatalog.HostID]bool{}}
	for _, s := range own.shares {
		own.isOwn[s.Host.ID] = true
	}
	return own, true
}
