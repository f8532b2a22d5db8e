package pimonce

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// UnixClock converts unix seconds to instants with an offset that is fixed at the start of the process, so that a step
// of the wall clock neither extends a permit nor drops a record early.
type UnixClock struct {
	// start is the unix time at instant zero.
	start time.Duration
}

// NewUnixClock fixes the offset from one reading of both clocks.
func NewUnixClock(now pimclock.Instant, wall time.Time) UnixClock {
	return UnixClock{start: time.Duration(wall.UnixNano()) - time.Duration(now)}
}

// Unix returns the unix seconds at an instant; tokens that name this VM as home are issued with it.
func (u UnixClock) Unix(now pimclock.Instant) uint32 {
	return uint32((u.start + time.Duration(now)) / time.Second)
}

// Instant returns the instant of unix seconds.
func (u UnixClock) Instant(unix uint32) pimclock.Instant {
	return pimclock.Instant(time.Duration(unix)*time.Second - u.start)
}
