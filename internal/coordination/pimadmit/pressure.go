package pimadmit

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The bounds of the pressure on a service.
const (
	// pressureHalfLife is how fast the pressure follows the load: a burst shows within about 200 ms.
	pressureHalfLife = 200 * time.Millisecond
	// maxWaiting is the part of the urgent flows without a place up to which the others may wait for one. Beyond that, the next copy of an
	// opening packet finds no room either, and each place that it gets makes a flow late that would have been in time.
	maxWaiting = 0.1
)

// Pressure is the recent part of the most urgent flows of a service that found no place; the zero value is none.
type Pressure struct {
	placed, refused float64
	at              pimclock.Instant
}

// Record records whether a flow found a place.
func (p *Pressure) Record(now pimclock.Instant, isPlaced bool) {
	decay := math.Exp2(-float64(now.Sub(p.at)) / float64(pressureHalfLife))
	p.placed, p.refused, p.at = p.placed*decay, p.refused*decay, now
	if isPlaced {
		p.placed++
	} else {
		p.refused++
	}
}

// IsHigh reports whether flows are refused at once instead of being left to the next copy of their opening packet.
func (p *Pressure) IsHigh() bool { return p.refused > 1 && p.refused > maxWaiting*(p.placed+p.refused) }
