package pimslot

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pacer holds a fractional number of slots as an average over time. Whole slots are always available; the last,
// fractional slot is available once its start tag has been reached. Tags are instants: capacity is counted in slots, so
// the virtual time of start-time fair queueing advances with the clock. The tag advances while the fractional slot is
// in use, so no request duration needs to be estimated.
type pacer struct {
	limit float64
	tag   pimclock.Instant
	// accountedUntil is the instant up to which the use has been accounted.
	accountedUntil pimclock.Instant
}

const (
	// slotEpsilon absorbs rounding in sums of slot fractions.
	slotEpsilon = 1e-6
	// minFraction is the smallest fraction that is served; it keeps tags within the range of an Instant.
	minFraction = 1e-3
)

func (p *pacer) whole() int { return int(math.Floor(p.limit + slotEpsilon)) }

func (p *pacer) fraction() float64 { return p.limit - float64(p.whole()) }

// allows reports whether one more slot may be used beside the running ones.
func (p *pacer) allows(now pimclock.Instant, running int) bool {
	whole := p.whole()
	if running < whole {
		return true
	}
	return running == whole && p.fraction() >= minFraction && !now.Before(p.tag)
}

// account charges the use since the last call; it precedes each change of the running slots and of the limit.
func (p *pacer) account(now pimclock.Instant, running int) {
	used := now.Sub(p.accountedUntil)
	p.accountedUntil = now
	f := p.fraction()
	if running <= p.whole() || f < minFraction {
		return
	}
	p.tag = p.tag.Add(time.Duration(float64(used) / f))
}

// activate forgets unused time beyond the credit; it is called when the contract becomes backlogged.
func (p *pacer) activate(now pimclock.Instant, credit time.Duration) {
	p.tag = max(p.tag, now.Add(-credit))
}
