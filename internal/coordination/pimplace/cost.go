package pimplace

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The costs of a choice, in requests that wait for one slot.
const (
	// openCost is that of an open flow: a caller that keeps a flow sends about one request of 30 ms a second.
	openCost = 0.05
	// coldFactor multiplies the load of a backend server that has just started.
	coldFactor = 1.6
	// remoteCost is that of another data centre. A VM sees no load there, and a flow that is placed there breaks when
	// the data centres lose each other, so it pays only if the queues at home are nearly full.
	remoteCost = 8
	// suspectCost is that of a backend server that does not answer.
	suspectCost = 20
	// alreadyTriedCost is that of a backend server that has not answered this flow.
	alreadyTriedCost = 100
)

// cost is the wait that a new flow expects at a backend server, with surcharges.
func (p *Placer) cost(now pimclock.Instant, h *pimcatalog.Host) float64 {
	load := p.observer.Load(now, h.ID)
	busy := float64(load.Busy) + load.BusyElsewhere
	open := float64(load.Open) + load.OpenElsewhere
	cost := (busy + openCost*open) / float64(max(1, h.Slots))
	if h.Cold(now) > 0 {
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
