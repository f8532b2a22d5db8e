package pimlog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against one log line for each of many refused packets, and against omitted lines that are not counted.
func TestBucketLimitsLinesAndCountsOmitted(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	b := NewBucket(10, 5)
	written, counted := 0, 0
	const lines = 10_000
	for range lines {
		clock.Advance(time.Millisecond)
		if omitted, ok := b.Allow(clock.Now()); ok {
			written++
			counted += omitted
		}
	}
	is.True(written >= 55 && written <= 61) // the burst and 5 a second for 10 s
	clock.Advance(time.Second)
	omitted, ok := b.Allow(clock.Now())
	is.True(ok)
	is.Equal(written+1+counted+omitted, lines+1)
}
