package pimpick

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Hosts chooses among the backend servers of this data centre for new flows; it is safe for concurrent use.
type Hosts struct {
	mu       sync.Mutex
	cfg      Config
	policy   Policy
	hosts    map[pimid.BackendID]*host
	services map[pimid.ServiceID]*group
}

// NewHosts returns an empty table with the given policy.
func NewHosts(cfg Config, policy Policy) *Hosts {
	return &Hosts{
		cfg: cfg, policy: policy,
		hosts: map[pimid.BackendID]*host{}, services: map[pimid.ServiceID]*group{},
	}
}

// SetHosts replaces the backend servers of the data centre. It keeps the observations of hosts whose generation and
// service are unchanged; a new generation begins with a slow start.
func (t *Hosts) SetHosts(now pimclock.Instant, hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts
	t.hosts = make(map[pimid.BackendID]*host, len(hosts))
	t.services = map[pimid.ServiceID]*group{}
	for _, d := range hosts {
		h := old[d.ID]
		switch {
		case h == nil:
			h = newHost(now, d, d.Cold)
		case h.Generation != d.Generation || h.Service != d.Service:
			h = newHost(now, d, true)
		default:
			h.Host = d
		}
		t.add(h)
	}
}

func (t *Hosts) add(h *host) {
	t.hosts[h.ID] = h
	g := t.services[h.Service]
	if g == nil {
		g = &group{}
		t.services[h.Service] = g
	}
	g.hosts = append(g.hosts, h)
}

// Pick chooses a backend server for a new flow and counts the flow; the error is ErrNoHost if none may receive it.
func (t *Hosts) Pick(now pimclock.Instant, service pimid.ServiceID, rnd *rand.Rand) (id pimid.BackendID, gen pimid.Generation, err error) {
	defer func() { err = oops.In("pimpick").Wrapf(err, "pick backend server") }()
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[service]
	if g == nil {
		return 0, 0, ErrNoHost
	}
	g.refresh(now, &t.cfg)
	g.usable = g.usable[:0]
	for _, h := range g.hosts {
		if h.usable(now) && !h.full(now, g, &t.cfg) {
			g.usable = append(g.usable, h)
		}
	}
	if len(g.usable) == 0 {
		return 0, 0, ErrNoHost
	}
	g.applySlowStart(now, &t.cfg, rnd)
	h := g.usable[t.policy.Choose(rnd, len(g.usable), func(i int) float64 { return t.load(now, g, g.usable[i]) })]
	h.placed++
	h.sinceReport++
	return h.ID, h.Generation, nil
}

// load returns the used fraction of the connection limit. A cold host counts with at least the median number of
// connections, so that its few connections do not attract more than its share of new flows.
func (t *Hosts) load(now pimclock.Instant, g *group, h *host) float64 {
	estimate := h.estimate(now, g, &t.cfg)
	if h.cold {
		estimate = max(estimate, g.median)
	}
	return (estimate + 1) / float64(h.MaxConnections)
}

// Report records the connection count of a host at the instant at. It ignores a report that is older than the last one
// or belongs to another generation.
func (t *Hosts) Report(id pimid.BackendID, gen pimid.Generation, connections pimid.Connections, at pimclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[id]
	if h == nil || h.Generation != gen || (h.hasReport && at.Before(h.reportedAt)) {
		return
	}
	h.reported, h.reportedAt, h.hasReport, h.sinceReport = max(0, float64(connections)), at, true, 0
}

// SetStatus records the draining and failed status announced by the VM that owns the host; it ignores other
// generations.
func (t *Hosts) SetStatus(id pimid.BackendID, gen pimid.Generation, draining, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[id]; h != nil && h.Generation == gen {
		// A drain cannot be revoked within one generation.
		h.draining = h.draining || draining
		h.failed = failed
	}
}

// Usable returns the backend servers of a service that may receive new flows.
func (t *Hosts) Usable(now pimclock.Instant, service pimid.ServiceID) (ids []pimid.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.services[service]; g != nil {
		for _, h := range g.hosts {
			if h.usable(now) {
				ids = append(ids, h.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
