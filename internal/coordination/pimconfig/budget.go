package pimconfig

import (
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// The default byte budget of a VM for control traffic.
const (
	// BudgetRate is the refill in bytes per second.
	BudgetRate = 5_000
	// BudgetBurst is the capacity in bytes; a full budget also lets a single larger message pass.
	BudgetBurst = 256_000
)

// Budget is a token bucket for the bytes that one VM sends as control traffic; it is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	level float64
	last  pimclock.Instant
}

// NewBudget returns a full budget with a rate in bytes per second and a burst in bytes.
func NewBudget(now pimclock.Instant, rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, level: burst, last: now}
}

// Available returns the number of bytes that may be sent now; it is negative after a message larger than the level,
// until the refill has made up for it.
func (b *Budget) Available(now pimclock.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.level)
}

// Take spends n bytes and reports whether they may be sent. A message larger than the burst may be sent when the budget
// is full, and makes the level negative, since a value of 1 MB would otherwise never be sent.
func (b *Budget) Take(now pimclock.Instant, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if float64(n) > b.level && b.level < b.burst {
		return false
	}
	b.level -= float64(n)
	return true
}

// Charge spends n bytes that were sent whatever the level, such as gossip, so that pulls get only the rest. The level
// does not fall below minus the burst.
func (b *Budget) Charge(now pimclock.Instant, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = max(b.level-float64(n), -b.burst)
}

func (b *Budget) refill(now pimclock.Instant) {
	if !b.last.Before(now) {
		return
	}
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// Wait returns how long to wait until n bytes may be sent.
func (b *Budget) Wait(now pimclock.Instant, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	lack := min(float64(n), b.burst) - b.level
	if lack <= 0 {
		return 0
	}
	return time.Duration(lack / b.rate * float64(time.Second))
}
