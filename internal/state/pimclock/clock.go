package pimclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since boot; unlike time.Time it also advances while the machine is suspended.
type Instant time.Duration

// Add returns the instant moved by d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Clock returns the current instant.
type Clock interface {
	Now() Instant
}

// Boot reads CLOCK_BOOTTIME, so that deadlines and leases expire while a VM is suspended.
type Boot struct{}

// Now returns the time since boot; it falls back to the Go monotonic clock if the kernel call fails.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Manual is a clock that moves only by Advance; it is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Instant
}

// Now returns the sum of all advances.
func (c *Manual) Now() Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *Manual) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
