package pimplace

import (
	"time"

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
	cost := (busy + openCost*open) / (float64(max(1, h.Slots)) * speed)
	if h.ColdFor(now) > 0 {
		cost = (cost + 1) * coldFactor
	}
	cost += 1 / speed
	if h.DataCentre != p.home {
		cost += remoteCost
	}
	if load.Suspect || load.isSuspectElsewhere(now) {
		cost += suspectCost
	}
	return cost
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
