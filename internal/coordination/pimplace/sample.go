package pimplace

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The bounds of the backend servers that one decision looks at. One takes 0.1 to 0.4 microseconds; at 250 new flows a second, a VM
// with 0.045 of a core has 180 microseconds for each flow.
const (
	// maxLooks is the size up to which all backend servers of a service are looked at.
	maxLooks = 256
	// homeLooks and awayLooks are the numbers for larger services, in the own data centre and in each of the others.
	homeLooks = 64
	awayLooks = 4
)

// hostIndex holds the backend servers of a large service by data centre.
type hostIndex struct {
	home pool
	away []pool
}

// pool holds the backend servers of a service in one data centre.
type pool struct {
	dataCentre pimid.DataCentre
	hosts      []*pimcatalog.Host
}

// indexFor returns the index of a large service, or nil for others. It is made with the first flow after a change of the catalog;
// apply keeps it.
func (p *Placer) indexFor(c *pimcatalog.Catalog, service pimcatalog.Service) (x *hostIndex, isNew bool) {
	hosts := c.Service(service)
	if len(hosts) <= maxLooks {
		return nil, false
	}
	if x := p.indexes[service]; x != nil && p.indexed == c {
		return x, false
	}
	x = &hostIndex{home: pool{dataCentre: p.home}}
	for _, h := range hosts {
		x.pool(h.DataCentre).add(h)
	}
	return x, true
}

func (p *Placer) setIndex(c *pimcatalog.Catalog, service pimcatalog.Service, x *hostIndex) {
	if p.indexed != c {
		p.indexed, p.indexes = c, map[pimcatalog.Service]*hostIndex{}
	}
	p.indexes[service] = x
}

func (x *hostIndex) pool(dc pimid.DataCentre) *pool {
	if dc == x.home.dataCentre {
		return &x.home
	}
	for i := range x.away {
		if x.away[i].dataCentre == dc {
			return &x.away[i]
		}
	}
	x.away = append(x.away, pool{dataCentre: dc})
	return &x.away[len(x.away)-1]
}

func (l *pool) add(h *pimcatalog.Host) { l.hosts = append(l.hosts, h) }

// addSample adds backend servers at equal distances from a random first one, so that none is added twice.
func (p *Placer) addSample(hosts []*pimcatalog.Host, looks int) {
	if len(hosts) <= looks {
		p.sample = append(p.sample, hosts...)
		return
	}
	first, step := p.rng.IntN(len(hosts)), len(hosts)/looks
	for i := range looks {
		p.sample = append(p.sample, hosts[(first+i*step)%len(hosts)])
	}
}

// awayHost is a backend server of another data centre that has got flows of a large service.
type awayHost struct {
	id         pimcatalog.HostID
	dataCentre pimid.DataCentre
}

// recordAway remembers a backend server of another data centre, since a sample rarely includes those with requests of this VM.
func (a *admission) recordAway(service pimcatalog.Service, h *pimcatalog.Host) {
	o := awayHost{id: h.ID, dataCentre: h.DataCentre}
	if !slices.Contains(a.away[service], o) {
		a.away[service] = append(a.away[service], o)
	}
}

// sampled returns a sample of the backend servers of the own data centre, or of each of the others, and for how many each one stands.
func (p *Placer) sampled(x *hostIndex, isHome bool) (hosts []*pimcatalog.Host, weight float64) {
	p.sample = p.sample[:0]
	all := len(x.home.hosts)
	if isHome {
		p.addSample(x.home.hosts, homeLooks)
	} else {
		all = 0
		for i := range x.away {
			all += len(x.away[i].hosts)
			p.addSample(x.away[i].hosts, awayLooks)
		}
	}
	return p.sample, float64(all) / float64(max(1, len(p.sample)))
}

// sampledAll returns a sample of the backend servers of all data centres.
func (p *Placer) sampledAll(x *hostIndex) []*pimcatalog.Host {
	p.sampled(x, false)
	p.addSample(x.home.hosts, homeLooks)
	return p.sample
}

// scaleRemote replaces the numbers of slots and requests, which are those of a sample.
func (p *Placer) scaleRemote(now pimclock.Instant, d *decision) {
	a := p.admission
	for i := range a.remote {
		r := &a.remote[i]
		all := len(d.index.pool(r.dataCentre).hosts)
		r.slots, r.busy = r.slots*all/min(awayLooks, all), 0
	}
	for _, o := range a.away[d.service] {
		load := p.observer.Load(now, o.id)
		for i := range a.remote {
			if a.remote[i].dataCentre == o.dataCentre {
				a.remote[i].busy += load.Busy + load.Expected
			}
		}
		if load.UnderWay() == 0 {
			d.idleAway++
		}
	}
}

// removeIdleAway forgets the backend servers of other data centres that have no more requests of this VM.
func (p *Placer) removeIdleAway(now pimclock.Instant, service pimcatalog.Service) {
	a := p.admission
	a.away[service] = slices.DeleteFunc(a.away[service], func(o awayHost) bool {
		load := p.observer.Load(now, o.id)
		return load.UnderWay() == 0
	})
}
