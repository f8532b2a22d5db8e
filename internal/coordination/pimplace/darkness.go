package pimplace

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// darkMisses is the number of flows of this VM without an answer that show that a backend server answers nobody.
	// At a loss of 0.1% of the packets, three in a row without a sign of life happen by chance once in 10^8 flows.
	darkMisses = 3
	// darkMissesTogether is the number that is enough together with those of other VMs.
	darkMissesTogether = 4
)

// IsDark reports whether a backend server answers nobody. If more than half of its service seems to, the fault is taken
// to be on this side, and none of them is dark.
func (p *Placer) IsDark(now pimclock.Instant, c *pimcatalog.Catalog, id pimcatalog.HostID) bool {
	if !p.seemsDark(now, id) {
		return false
	}
	h := c.Host(id.Tag())
	if h == nil {
		return false
	}
	listed, dark := 0, 0
	for _, other := range c.Service(h.Service) {
		if other.Gone(now) {
			continue
		}
		listed++
		if p.seemsDark(now, other.ID) {
			dark++
		}
	}
	return 2*dark <= listed
}

// seemsDark counts the flows without an answer. A sign of life that another VM saw afterwards outweighs them: then the
// fault is between this VM and the backend server, or its own.
func (p *Placer) seemsDark(now pimclock.Instant, id pimcatalog.HostID) bool {
	load := p.observer.Load(now, id)
	if load.Misses > 0 && load.MissedFrom.Before(load.AliveElsewhere) {
		return false
	}
	return load.Misses >= darkMisses || load.Misses > 0 && load.Misses+load.MissesElsewhere >= darkMissesTogether
}
