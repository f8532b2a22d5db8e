package pimslot

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pacer limits the running slots to a fractional number, as an average over time: with a limit of 2.5, two slots are
// always available and a third one half of the time. Whole slots are always available; the last, fractional slot is
// available once its start tag has been reached. Tags are instants: capacity is counted in slots, so the virtual time of
// start-time fair queueing advances with the clock. The tag advances while the fractional slot is in use, so no request
// duration needs to be estimated.
type pacer struct {
	limit float64
	// tag is the instant from which the fractional slot is available.
	tag pimclock.Instant
	// accountedUntil is the instant up to which the use has been accounted.
	accountedUntil pimclock.Instant
}

const (
	// slotEpsilon absorbs rounding in sums of slot fractions.
	slotEpsilon = 1e-6
	// minFraction is the smallest fraction of a slot that is granted; smaller ones would move tags out of the range of an
	// Instant.
	minFraction = 1e-3
)

func (p *pacer) whole() int { return int(math.Floor(p.limit + slotEpsilon)) }

func (p *pacer) fraction() float64 { return p.limit - float64(p.whole()) }

// allows reports whether one more slot may be used in addition to the running ones.
func (p *pacer) allows(now pimclock.Instant, running int) bool {
	whole := p.whole()
	if running < whole {
		return true
	}
	return running == whole && p.fraction() >= minFraction && !now.Before(p.tag)
}

// account charges the use of the fractional slot since the last call; it must be called before each change of the number
// of running slots and of the limit.
func (p *pacer) account(now pimclock.Instant, running int) {
	used := now.Sub(p.accountedUntil)
	p.accountedUntil = now
	f := p.fraction()
	if running <= p.whole() || f < minFraction {
		return
	}
	p.tag = p.tag.Add(time.Duration(float64(used) / f))
}

// activate limits the unused time that the contract can use later to the credit; it is called when the contract gets a
// waiting request after having none.
func (p *pacer) activate(now pimclock.Instant, credit time.Duration) {
	p.tag = max(p.tag, now.Add(-credit))
}
