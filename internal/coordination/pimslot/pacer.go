package pimslot

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pacer holds a fractional number of slots as an average over time. Whole slots are always available; the last,
// fractional slot is available when its start tag has been reached. Tags are instants: capacity is counted in slots, so
// the virtual time of start-time fair queueing advances with the clock.
type pacer struct {
	limit float64
	tag   pimclock.Instant
}

// slotEpsilon absorbs rounding in sums of slot fractions.
const slotEpsilon = 1e-6

// minFraction is the smallest fraction that is served; it keeps tags within the range of an Instant.
const minFraction = 1e-3

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

// charge accounts one slot of the given expected duration; it returns whether the fractional slot was used.
func (p *pacer) charge(running int, cost time.Duration) (fractional bool) {
	if running < p.whole() {
		return false
	}
	p.tag = p.tag.Add(p.stretch(cost))
	return true
}

// correct replaces the expected duration of a charge by the observed one.
func (p *pacer) correct(expected, observed time.Duration) {
	p.tag = p.tag.Add(p.stretch(observed - expected))
}

// activate forgets unused time beyond the credit; it is called when the contract becomes backlogged.
func (p *pacer) activate(now pimclock.Instant, credit time.Duration) {
	p.tag = max(p.tag, now.Add(-credit))
}

func (p *pacer) stretch(cost time.Duration) time.Duration {
	f := p.fraction()
	if f < minFraction {
		return 0
	}
	return time.Duration(float64(cost) / f)
}
