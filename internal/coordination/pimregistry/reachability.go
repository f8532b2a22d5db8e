package pimregistry

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// never is earlier than any instant of a clock.
const never pimclock.Instant = math.MinInt64 / 2

// reachability records the last outage of the platform as this VM saw it. A VM that has just started knows of no outage
// and treats the time before its start as one.
type reachability struct {
	reachable bool
	// since is when the platform became readable again.
	since pimclock.Instant
}

// returnDeadline returns the instant by which entries that lapsed in the last outage must be published again. While
// this VM cannot read the platform itself, the time counts from now: a change that it learns from another VM shows that
// the platform is reachable again.
func (r *reachability) returnDeadline(now pimclock.Instant, within time.Duration) pimclock.Instant {
	if !r.reachable {
		return now.Add(within)
	}
	return r.since.Add(within)
}

// ReadFailed records that a read of the platform failed.
func (r *Registry) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachability.reachable = false
}

// ReadSucceeded records that a read of the platform succeeded whose result is complete as of an instant. Call it before the result
// is applied; the view counts as confirmed once it is, or after ConfirmRead.
func (r *Registry) ReadSucceeded(asOf pimclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAsOf = asOf
	if !r.reachability.reachable {
		r.endOutage(r.clock.Now())
	}
}

// endOutage records that the platform is readable again. Entries that had lapsed before get more time to return, unless the view
// was confirmed without them after they should have.
func (r *Registry) endOutage(now pimclock.Instant) {
	r.reachability = reachability{reachable: true, since: now}
	deadline, isExtended := r.reachability.returnDeadline(now, r.cfg.ReturnWithin), false
	r.extendOverwritten(deadline)
	for key, goneAt := range r.lapsed {
		old := r.entries.get(key)
		if old == nil || !old.Unlisted || old.GoneAt != goneAt || goneAt <= pimclock.Instant(r.lastOK.Load()) {
			delete(r.lapsed, key)
			continue
		}
		h := *old
		h.GoneAt = deadline
		r.entries.put(&h)
		r.lapsed[key], isExtended = deadline, true
	}
	if isExtended {
		r.publish()
	}
}

// ConfirmRead records that the last read of this VM has returned no changes.
func (r *Registry) ConfirmRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmRead()
}

// confirmRead records that the catalog holds the result of the last read of this VM, or a later state.
func (r *Registry) confirmRead() {
	if !r.isPartial {
		r.lastOK.Store(max(r.lastOK.Load(), int64(r.readAsOf)))
	}
}

// Confirm records that another VM, which read the platform at the instant asOf, has no changes after the revision. If
// the last read of this VM failed, or the view was older than FreshFor, this counts as the end of an outage.
func (r *Registry) Confirm(revision pimid.Revision, asOf pimclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := pimclock.Instant(r.lastOK.Load())
	if revision < r.revision || r.isPartial || asOf <= last {
		return
	}
	now := r.clock.Now()
	if !r.reachability.reachable || now.Sub(last) > r.cfg.FreshFor {
		r.endOutage(now)
	}
	r.lastOK.Store(int64(asOf))
}

// Settled reports whether the view is current and entries that lapsed in the last outage have had time to be published
// again, so that a backend server without an entry has ended.
func (r *Registry) Settled(now pimclock.Instant) bool {
	r.mu.Lock()
	deadline := r.reachability.returnDeadline(now, r.cfg.ReturnWithin)
	r.mu.Unlock()
	return r.Fresh(now) && !now.Before(deadline)
}

// Fresh reports whether the view is at most FreshFor old.
func (r *Registry) Fresh(now pimclock.Instant) bool { return r.Age(now) <= r.cfg.FreshFor }

// Age returns the time since the platform was last read, by this VM or by one that confirmed the view.
func (r *Registry) Age(now pimclock.Instant) time.Duration {
	return now.Sub(pimclock.Instant(r.lastOK.Load()))
}
