package pimplace

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
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
	// deferred holds the flows that were left to the next copy of their opening packet.
	deferred deferredFlows
	// excluded is why backend servers were excluded from the present choice; see Placer.exclude.
	excluded pimsteer.Reason
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
		activity: map[pimcatalog.Service]*pimadmit.Activity{}, deferred: deferredFlows{at: map[pimpacket.Flow]pimclock.Instant{}},
	}
}

// SetVMs sets the names of the other running VMs of the data centre, sorted.
func (p *Placer) SetVMs(names []string) {
	if a := p.admission; a != nil && !slices.Equal(a.vms, names) {
		a.vms, a.catalog = names, nil
	}
}

// maxRemoteFlows is the number of requests that a VM may have under way in other data centres while its own one has no room.
// Their load is unknown, so that all VMs of a data centre together must not fill the others.
const maxRemoteFlows = 6

// maxRemoteLoad is the number of own requests per slot up to which a remote backend server gets another one.
const maxRemoteLoad = 0.5

// admit chooses a backend server for an opening packet, or refuses it.
func (p *Placer) admit(
	now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, route *pimcatalog.Route, pkt *pimpacket.Packet,
) pimsteer.Placement {
	a := p.admission
	own := p.allot(now, c, service)
	demand := pimadmit.Demand{
		Level: a.recordFlow(now, service, route, pkt.Attempt), Attempt: pkt.Attempt, Target: route.Target, Timeout: route.Timeout,
	}
	a.choice.Reset()
	a.excluded = pimsteer.ReasonNoHost
	last, before := p.observer.Tried(pkt.Flow)
	wasTried := func(id pimcatalog.HostID) bool { return id == last || id == before }
	for _, s := range own.shares {
		p.addOwn(now, c, s, wasTried(s.Host.ID))
	}
	isRemoteOpen := false
	if a.choice.OwnSlot() == nil {
		isRemoteOpen = p.addOthers(now, c, service, own, wasTried)
	}
	h, rule := a.choice.Decide(&demand, isRemoteOpen)
	switch {
	case h != nil:
	case rule == pimadmit.NoCandidate && a.excluded == pimsteer.ReasonSlowStart:
		return p.refuseSlowStart(now, c, service, pkt, last != 0)
	case rule == pimadmit.NoCandidate:
		return pimsteer.Placement{Reason: a.excluded, Rule: rule.String()}
	case rule == pimadmit.NoRoom && pkt.Attempt > 0 && !a.deferred.has(pkt.Flow):
		// An earlier copy may have been forwarded, so a reset could break the flow that it has opened.
		h, rule = a.choice.LeastLoaded()
	case demand.MayWait():
		a.deferred.add(now, pkt.Flow)
		return pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Later: true, Rule: rule.String()}
	default:
		return pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Later: last != 0, Rule: rule.String()}
	}
	a.deferred.remove(pkt.Flow)
	return pimsteer.Placement{Host: h, Rule: rule.String()}
}

// recordFlow counts a new flow, but not the later copies of its opening packet, and returns its level.
func (a *admission) recordFlow(
	now pimclock.Instant, service pimcatalog.Service, route *pimcatalog.Route, attempt int,
) pimadmit.Level {
	activity := a.activity[service]
	if activity == nil {
		activity = &pimadmit.Activity{}
		a.activity[service] = activity
	}
	if attempt > 0 {
		return activity.Level(now, route.Priority)
	}
	return activity.Record(now, route.Priority)
}

// isExcluded reports whether a backend server may receive no new flow now, and records why.
func (p *Placer) isExcluded(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) bool {
	reason, isExcluded := p.exclude(now, c, h)
	if isExcluded {
		p.admission.excluded = max(p.admission.excluded, reason)
	}
	return isExcluded
}

// addOwn adds a backend server of the VM's own share.
func (p *Placer) addOwn(now pimclock.Instant, c *pimcatalog.Catalog, s pimadmit.Share, wasTried bool) {
	if p.isExcluded(now, c, s.Host) {
		return
	}
	load := p.observer.Load(now, s.Host.ID)
	if load.Suspect || wasTried {
		p.addAvoided(now, s.Host, wasTried)
		return
	}
	fill := float64(load.Busy) / float64(s.Places)
	p.admission.choice.Add(pimadmit.Own, s.Host, fill*slowdown(now, s.Host), float64(load.Open))
}

// addOthers adds the backend servers that do not belong to the own share. It reports whether the VM may send one more flow to
// another data centre.
func (p *Placer) addOthers(
	now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, own *allotment, wasTried func(pimcatalog.HostID) bool,
) (isRemoteOpen bool) {
	a := p.admission
	remoteFlows, isRemoteIdle := 0, false
	for _, h := range c.Service(service) {
		if own.isOwn[h.ID] || p.isExcluded(now, c, h) {
			continue
		}
		load := p.observer.Load(now, h.ID)
		slots := float64(max(1, h.Slots))
		isHome := h.DataCentre == p.home
		if !isHome {
			remoteFlows += load.Busy
		}
		switch {
		case load.Suspect || wasTried(h.ID):
			p.addAvoided(now, h, wasTried(h.ID))
		case isHome:
			busy := float64(load.Busy) + load.BusyElsewhere
			a.choice.Add(pimadmit.Shared, h, busy/slots*slowdown(now, h), float64(load.Open)+load.OpenElsewhere)
		default:
			busy := float64(load.Busy) / slots
			isRemoteIdle = isRemoteIdle || busy < maxRemoteLoad
			a.choice.Add(pimadmit.Remote, h, busy*slowdown(now, h), float64(load.Open))
		}
	}
	return isRemoteIdle && remoteFlows < maxRemoteFlows
}

// addAvoided adds a backend server that has not answered recently.
func (p *Placer) addAvoided(now pimclock.Instant, h *pimcatalog.Host, wasTried bool) {
	cost := p.cost(now, h)
	if wasTried {
		cost += alreadyTriedCost
	}
	p.admission.choice.Add(pimadmit.Avoided, h, cost, 0)
}

// slowdown is the factor by which requests take longer at a backend server that has just started.
func slowdown(now pimclock.Instant, h *pimcatalog.Host) float64 {
	if h.ColdFor(now) > 0 {
		return coldFactor
	}
	return 1
}

// allot returns the share of this VM in the backend servers of a service in the data centre. They are divided among its VMs again if
// either has changed. A backend server whose tag belongs to another one gets no flows, thus has no share.
func (p *Placer) allot(now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service) *allotment {
	a := p.admission
	if a.catalog != c {
		a.catalog, a.allotments = c, map[pimcatalog.Service]*allotment{}
	}
	if own := a.allotments[service]; own != nil {
		return own
	}
	var hosts []*pimcatalog.Host
	for _, h := range c.Service(service) {
		if h.DataCentre == p.home && h.AcceptsNewFlows(now) {
			hosts = append(hosts, h)
		}
	}
	own := &allotment{shares: pimadmit.Allot(a.cfg, hosts, a.vms, a.self), isOwn: map[pimcatalog.HostID]bool{}}
	for _, s := range own.shares {
		own.isOwn[s.Host.ID] = true
	}
	a.allotments[service] = own
	return own
}
