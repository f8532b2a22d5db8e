package pimlog

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Bucket is a token bucket that limits the log lines about single flows. It is not safe for concurrent use.
type Bucket struct {
	burst   float64
	perSec  float64
	tokens  float64
	updated pimclock.Instant
	// omitted counts the lines that were refused since the last allowed one.
	omitted int
}

// NewBucket returns a full bucket for burst lines that refills by linesPerSecond.
func NewBucket(burst, linesPerSecond float64) *Bucket {
	return &Bucket{burst: burst, perSec: linesPerSecond, tokens: burst}
}

// Allow reports whether a line may be written and, if so, how many lines were omitted since the last allowed one.
func (b *Bucket) Allow(now pimclock.Instant) (omitted int, ok bool) {
	elapsed := max(0, now.Sub(b.updated))
	b.updated = now
	b.tokens = min(b.burst, b.tokens+b.perSec*float64(elapsed)/float64(time.Second))
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
