package pimonce

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// UnixClock converts between Unix seconds and instants with an offset that is fixed at the start of the process, so that
// a step of the wall clock neither extends the permit of a token nor drops a record early.
type UnixClock struct {
	// start is the Unix time at instant zero.
	start time.Duration
}

// NewUnixClock fixes the offset from one reading of both clocks.
func NewUnixClock(now pimclock.Instant, wall time.Time) UnixClock {
	return UnixClock{start: time.Duration(wall.UnixNano()) - time.Duration(now)}
}

// Unix returns the Unix seconds at an instant; it gives the issue time of tokens that name this VM as home.
func (u UnixClock) Unix(now pimclock.Instant) uint32 {
	return uint32((u.start + time.Duration(now)) / time.Second)
}

// Instant returns the instant of a Unix time in seconds.
func (u UnixClock) Instant(unix uint32) pimclock.Instant {
	return pimclock.Instant(time.Duration(unix)*time.Second - u.start)
}
