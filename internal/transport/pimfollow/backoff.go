package pimfollow

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays between Min and Max with full jitter, so that readers that failed at the same
// time do not retry at the same time. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	// Scale multiplies the longest delay of each attempt, if it is above 1, for many readers that fail together.
	Scale    float64
	rng      *rand.Rand
	failures int
}

// NewBackoff returns a Backoff with delays from lo to hi.
func NewBackoff(lo, hi time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{Min: lo, Max: hi, rng: rng}
}

// Next records a failure and returns the delay before the next attempt: at least Min, at most Max times Scale.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Min
	for range b.failures {
		if ceiling *= 2; ceiling >= b.Max {
			ceiling = b.Max
			break
		}
	}
	b.failures++
	ceiling = time.Duration(float64(ceiling) * max(1, b.Scale))
	if ceiling <= b.Min {
		return b.Min
	}
	return b.Min + time.Duration(b.rng.Int64N(int64(ceiling-b.Min)+1))
}

// Reset makes the next delay Min again; it is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
