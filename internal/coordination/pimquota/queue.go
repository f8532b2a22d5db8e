package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Result tells a waiting request whether it got its permits; retryAfter is set if it did not.
type Result func(ok bool, retryAfter time.Duration)

// WaitLimit says how long a request waits for permits.
type WaitLimit struct {
	// Deadline ends the wait if the owner answers, so that a lack of permits shows that the limit is reached.
	Deadline pimclock.Instant
	// ExtendedDeadline ends the wait while a lack of permits does not show that the limit is reached: the owner does
	// not answer or still solicits shares. It should allow for a lease, after which the own share can be used.
	ExtendedDeadline pimclock.Instant
}

// waiter is a request that waits a short time for permits of the own share or of the owner.
type waiter struct {
	WaitLimit
	n      float64
	result Result
}

// settleTime is how long the own share accrues after a lease before a lack of permits shows that the limit is reached.
const settleTime = time.Second

// notice passes the outcome to the Result of a waiting request. It is called after the pool's lock was released.
type notice func()

// slowPermits is the number of permits whose accrual a request waits for under a slow limit, so that two callers
// that arrive together by chance are both admitted.
const slowPermits = 3

// enqueue adds a request to the queue. It reports false if so many wait already that the limit cannot serve all of
// them in time, which bounds the memory that a flood of requests takes.
func (a *account) enqueue(now pimclock.Instant, w waiter) bool {
	rate := float64(a.limit.Rate) * a.limit.DataCentreFraction
	if rate <= 0 {
		return false
	}
	most := rate*w.ExtendedDeadline.Sub(now).Seconds() + a.limit.Burst*a.limit.DataCentreFraction + 1
	if float64(len(a.queue)) >= most {
		return false
	}
	accrual := time.Duration(slowPermits / rate * float64(time.Second))
	w.Deadline = max(w.Deadline, min(now.Add(accrual), w.ExtendedDeadline))
	a.queue = append(a.queue, w)
	return true
}

// ends reports whether the wait is over; isSupplyUnknown selects the later deadline.
func (w *waiter) ends(now pimclock.Instant, isSupplyUnknown bool) bool {
	if isSupplyUnknown {
		return !now.Before(w.ExtendedDeadline)
	}
	return !now.Before(w.Deadline)
}

// isSupplyUnknown reports whether a lack of permits does not show that the limit is reached: the owner still
// solicits shares, or the share is lent to an owner that has not answered the last request or is not responsive, or
// was until less than settleTime ago.
func (m *member) isSupplyUnknown(now pimclock.Instant, a *account) bool {
	if now.Before(a.collectingUntil) {
		return true
	}
	l := m.link(a.lentTo.node)
	return now.Before(a.lentUntil.Add(settleTime)) && (!l.answered || !l.responsive(now))
}

// serve answers the waiting requests in order, as far as permits suffice or deadlines have passed.
func (m *member) serve(now pimclock.Instant, a *account) (notices []notice) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		switch {
		case a.take(now, w.n):
			notices = append(notices, func() { w.result(true, 0) })
		case !w.ends(now, m.isSupplyUnknown(now, a)):
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
