package pimregistry

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// never is before any instant.
const never pimclock.Instant = math.MinInt64 / 2

// reachability remembers the last outage of the platform as this VM saw it. A VM that has just started knows of none, so it
// counts the time before its start as one.
type reachability struct {
	reachable bool
	// since is when the platform could be read again.
	since pimclock.Instant
}

// returnDeadline is the instant by which entries that lapsed in the last outage must have returned. A change that is learnt
// from another VM before the own contact has returned shows that the platform is back now.
func (c *reachability) returnDeadline(now pimclock.Instant, within time.Duration) pimclock.Instant {
	if !c.reachable {
		return now.Add(within)
	}
	return c.since.Add(within)
}

// ReadFailed records that a read of the platform failed.
func (r *Registry) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachability.reachable = false
}

// ReadSucceeded records that a read of the platform succeeded. Call it before the result is applied.
func (r *Registry) ReadSucceeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.lastOK.Store(int64(now))
	if !r.reachability.reachable {
		r.reachability = reachability{reachable: true, since: now}
	}
}

// Confirm records that another VM, which has read the platform at the given instant, knows nothing newer than the
// revision. The end of a time without any news counts as the end of an outage.
func (r *Registry) Confirm(revision pimid.Revision, asOf pimclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := pimclock.Instant(r.lastOK.Load())
	if revision < r.revision || r.isPartial || asOf <= last {
		return
	}
	now := r.clock.Now()
	if !r.reachability.reachable || now.Sub(last) > r.cfg.FreshFor {
		r.reachability = reachability{reachable: true, since: now}
	}
	r.lastOK.Store(int64(asOf))
}

// Settled reports whether the view is current and entries that lapsed in the last outage have had time to return, so
// that a backend server without an entry has ended.
func (r *Registry) Settled(now pimclock.Instant) bool {
	r.mu.Lock()
	deadline := r.reachability.returnDeadline(now, r.cfg.ReturnWithin)
	r.mu.Unlock()
	return r.Fresh(now) && !now.Before(deadline)
}

// Fresh reports whether the view is current at the given instant.
func (r *Registry) Fresh(now pimclock.Instant) bool { return r.Age(now) <= r.cfg.FreshFor }

// Age is the time since the platform was last read.
func (r *Registry) Age(now pimclock.Instant) time.Duration {
	return now.Sub(pimclock.Instant(r.lastOK.Load()))
}
