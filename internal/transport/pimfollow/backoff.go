package pimfollow

import (
	"math/rand/v2"
	"time"
)

// Backoff chooses waits that double from Min to Max with full jitter, so that readers that failed together do not
// return together. It is owned by one goroutine.
type Backoff struct {
	Min, Max time.Duration
	rng      *rand.Rand
	failures int
}

// NewBackoff returns a back-off between lo and hi.
func NewBackoff(lo, hi time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{Min: lo, Max: hi, rng: rng}
}

// Next returns the wait after one more failure: at least Min, at most Max.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Min
	for range b.failures {
		if ceiling *= 2; ceiling >= b.Max {
			ceiling = b.Max
			break
		}
	}
	b.failures++
	if ceiling <= b.Min {
		return b.Min
	}
	return b.Min + time.Duration(b.rng.Int64N(int64(ceiling-b.Min)+1))
}

// Reset starts again at Min after a success.
func (b *Backoff) Reset() { b.failures = 0 }
