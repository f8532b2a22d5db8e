package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// propagationBound is the time within which a published list reaches every VM.
	propagationBound = 15 * time.Second
	// DefaultGrowthDelay is how long a larger share must have been published before it is used. It covers
	// propagationBound and one lease, during which an owner may still count on a larger share of another VM.
	DefaultGrowthDelay = propagationBound + lease
)

// share is what one VM owns of a contract's limits: a rate and a depth in permits.
type share struct {
	rate  float64
	depth float64
}

// delayedIncrease is a published fraction whose increases take effect after a delay, and decreases at once: it yields
// the smallest value that was published within the delay. So the fractions of all VMs never add up to more than the
// whole while VMs know different lists.
type delayedIncrease struct {
	published []publishedValue
}

type publishedValue struct {
	value float64
	// until is when a later publication replaced the value; it is not set for the last one.
	until pimclock.Instant
}

func (l *delayedIncrease) publish(now pimclock.Instant, value float64) {
	if n := len(l.published); n > 0 {
		if l.published[n-1].value == value {
			return
		}
		l.published[n-1].until = now
	}
	l.published = append(l.published, publishedValue{value: value})
}

// restart withholds the value for one delay, as after a join.
func (l *delayedIncrease) restart(now pimclock.Instant) {
	if n := len(l.published); n > 0 {
		value := l.published[n-1].value
		l.publish(now, 0)
		l.publish(now, value)
	}
}

// current returns the value in force and drops publications that no longer count.
func (l *delayedIncrease) current(now pimclock.Instant, delay time.Duration) (value float64) {
	last := len(l.published) - 1
	if last < 0 {
		return 0
	}
	first := 0
	for first < last && now.Sub(l.published[first].until) >= delay {
		first++
	}
	l.published = l.published[first:]
	value = l.published[0].value
	for _, p := range l.published[1:] {
		value = min(value, p.value)
	}
	return value
}
