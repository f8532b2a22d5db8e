package pimplace

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The costs of a backend server, in waiting requests per slot.
const (
	// openCost is the cost of an open flow: a caller that keeps a flow open sends about one request of 30 ms a second.
	openCost = 0.05
	// coldFactor multiplies the cost plus one of a backend server that has just started.
	coldFactor = 1.6
	// remoteCost is added for another data centre. A VM does not see the load there, and a flow placed there breaks
	// when the link between the data centres fails, so this is worthwhile only if the local queues are nearly full.
	remoteCost = 8
	// suspectCost is added for a backend server with recent flows without an answer (pimflow.Load.Suspect).
	suspectCost = 20
	// alreadyTriedCost is added for a backend server that has not answered an earlier transmission of this opening packet.
	alreadyTriedCost = 100
)

// cost returns the expected wait of a new flow at a backend server, plus the surcharges above except alreadyTriedCost,
// which Place adds.
func (p *Placer) cost(now pimclock.Instant, h *pimcatalog.Host) float64 {
	load := p.observer.Load(now, h.ID)
	busy := float64(load.Busy) + load.BusyElsewhere
	open := float64(load.Open) + load.OpenElsewhere
	cost := (busy + openCost*open) / float64(max(1, h.Slots))
	if h.ColdFor(now) > 0 {
		cost = (cost + 1) * coldFactor
	}
	if h.DataCentre != p.home {
		cost += remoteCost
	}
	if load.Suspect {
		cost += suspectCost
	}
	return cost
}
