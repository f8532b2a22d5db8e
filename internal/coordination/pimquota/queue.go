package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Result tells a waiting request whether it got its permits; retryAfter is set if it did not.
type Result func(ok bool, retryAfter time.Duration)

// waiter is a request that waits a short time for permits of the owner.
type waiter struct {
	n        float64
	deadline pimclock.Instant
	result   Result
}

// notice is a result that is delivered after the pool's lock was released.
type notice func()

// serve answers the waiting requests in order, as far as permits suffice or deadlines have passed.
func (a *account) serve(now pimclock.Instant) (notices []notice) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		switch {
		case a.take(now, w.n):
			notices = append(notices, func() { w.result(true, 0) })
		case now.Before(w.deadline):
			return notices
		default:
			retry := a.retryAfter(w.n)
			notices = append(notices, func() { w.result(false, retry) })
		}
		a.queue = a.queue[1:]
	}
	return notices
}

// queued returns the permits that waiting requests want.
func (a *account) queued() (n float64) {
	for _, w := range a.queue {
		n += w.n
	}
	return n
}
