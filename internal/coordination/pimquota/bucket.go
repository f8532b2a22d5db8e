package pimquota

import "github.com/pimentoyard/pimentoyard/internal/state/pimclock"

// rounding absorbs the error of repeated floating-point addition, so that a full permit counts as one.
const rounding = 1e-9

// bucket holds permits that accrue with time up to a depth.
type bucket struct {
	tokens float64
	rate   float64
	depth  float64
	last   pimclock.Instant
}

// advance adds the permits that accrued since the last call.
func (b *bucket) advance(now pimclock.Instant) {
	if dt := now.Sub(b.last).Seconds(); dt > 0 {
		b.tokens += b.rate * dt
		b.last = now
	}
	b.tokens = min(b.tokens, b.depth)
}

// resize changes rate and depth from now on; permits above the new depth are lost.
func (b *bucket) resize(now pimclock.Instant, rate, depth float64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

func (b *bucket) take(now pimclock.Instant, n float64) bool {
	b.advance(now)
	if b.tokens+rounding < n {
		return false
	}
	b.tokens = max(b.tokens-n, 0)
	return true
}
