package pimplace

import (
	"cmp"
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
		activity: map[pimcatalog.Service]*pimadmit.Activity{},
	}
}

// SetVMs sets the names of the other running VMs of the data centre, sorted.
func (p *Placer) SetVMs(names []string) {
	if a := p.admission; a != nil && !slices.Equal(a.vms, names) {
		a.vms, a.catalog = names, nil
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
		share := ServiceShare{Service: service}
		for _, s := range own.shares {
			share.Places += s.Places
			share.Filled += p.observer.Load(now, s.Host.ID).Busy
		}
		all = append(all, share)
	}
	slices.SortFunc(all, func(a, b ServiceShare) int { return cmp.Compare(a.Service, b.Service) })
	return all
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
	own, activity := p.allot(now, c, service), a.activityOf(service)
	demand := pimadmit.Demand{
		Level: activity.Level(now, route.Priority), Attempt: pkt.Attempt, Target: route.Target, Timeout: route.Timeout,
	}
	a.choice.Reset()
	last, before := p.observer.Tried(pkt.Flow)
	wasTried := func(id pimcatalog.HostID) bool { return id == last || id == before }
	for _, s := range own.shares {
		p.addOwn(now, s, wasTried(s.Host.ID))
	}
	isRemoteOpen := false
	if a.choice.OwnSlot() == nil {
		isRemoteOpen = p.addOthers(now, c.Service(service), own, wasTried)
	}
	h, rule := a.choice.Decide(&demand, isRemoteOpen)
	switch {
	case h != nil:
		activity.Record(now, route.Priority)
		return pimsteer.Placement{Host: h, Rule: rule.String()}
	case rule == pimadmit.NoCandidate:
		return pimsteer.Placement{Reason: pimsteer.ReasonNoHost, Rule: rule.String()}
	default:
		return pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Later: demand.MayWait(), Rule: rule.String()}
	}
}

func (a *admission) activityOf(service pimcatalog.Service) *pimadmit.Activity {
	activity := a.activity[service]
	if activity == nil {
		activity = &pimadmit.Activity{}
		a.activity[service] = activity
	}
	return activity
}

// addOwn adds a backend server of the VM's own share.
func (p *Placer) addOwn(now pimclock.Instant, s pimadmit.Share, wasTried bool) {
	if !s.Host.AcceptsNewFlows(now) {
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
	now pimclock.Instant, hosts []*pimcatalog.Host, own *allotment, wasTried func(pimcatalog.HostID) bool,
) (isRemoteOpen bool) {
	a := p.admission
	remoteFlows, isRemoteIdle := 0, false
	for _, h := range hosts {
		if own.isOwn[h.ID] || !h.AcceptsNewFlows(now) {
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
