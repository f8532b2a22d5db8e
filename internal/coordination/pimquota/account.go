package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// account is the member's state of one contract.
type account struct {
	id    pimid.ContractID
	limit Limit
	// removed is set if the contract is no longer published.
	removed bool
	// dataCentreFraction is the fraction of the limit for this data centre; own holds the permits of the own share.
	dataCentreFraction delayedIncrease
	own                bucket
	grant              grant
	flows              flowEstimator
	flowSum            flowSum
	demand             demand
	queue              []waiter
	// refused is the number of permits that were refused since the last request to the owner; requested is the
	// number that the last request asked for.
	refused   float64
	requested float64
	// urgentGap is the shortest time between two requests with urgent demand; nextUrgent is the earliest time of the
	// next one.
	urgentGap  time.Duration
	nextUrgent pimclock.Instant

	// lentTo is the owner that holds the share until lentUntil.
	lentTo    ownerID
	lentUntil pimclock.Instant
	// lentSequence is the sequence number of the last message that lent the share.
	lentSequence uint64
	// active is set while the account is in the member's active list, which each tick processes.
	active bool
	borrowState
	// releasing is set while the member asks the holder of its share to return it: the holder answers, and another
	// owner was chosen or the demand fits the share again.
	releasing bool
}

// ownerID identifies a pool owner: the VM and its incarnation.
type ownerID struct {
	node        pimid.NodeID
	incarnation pimid.Incarnation
}

// grant is what the member may use of the owner's pool.
type grant struct {
	bucket
	sequence uint64
	expires  pimclock.Instant
}

func (a *account) lent(now pimclock.Instant) bool { return now.Before(a.lentUntil) }

// updateOwnShare applies the current rate and depth to the own share unless it is lent. After a lease, permits
// accrue from the end of the lease on.
func (a *account) updateOwnShare(now pimclock.Instant, s share) {
	if a.lent(now) {
		return
	}
	if a.own.depth == 0 && a.own.last.Before(a.lentUntil) {
		a.own.last = a.lentUntil
		a.own.rate, a.own.depth = s.rate, s.depth
	}
	a.own.resize(now, s.rate, s.depth)
}

// busy reports whether the account must be kept although its contract was removed: its share is lent, its grant is
// valid or requests wait.
func (a *account) busy(now pimclock.Instant) bool {
	return a.lent(now) || now.Before(a.grant.expires) || len(a.queue) > 0
}

// idle reports whether a tick can skip the account.
func (a *account) idle(now pimclock.Instant) bool {
	return !a.busy(now) && a.refused == 0 && !now.Before(a.borrowUntil) && !now.Before(a.flowsUntil)
}

// take takes n permits from the grant or the own share.
func (a *account) take(now pimclock.Instant, n float64) bool {
	return now.Before(a.grant.expires) && a.grant.take(now, n) || !a.lent(now) && a.own.take(now, n)
}

// isUrgent reports whether a request is due before borrowPeriod ends: the member wants its share back, lacks
// permits, or has less than one permit left of a grant.
func (a *account) isUrgent(now pimclock.Instant) bool {
	if now.Before(a.nextUrgent) {
		return false
	}
	return a.releasing || a.lacksPermits(now) || a.grant.depth >= 1 && a.grant.tokens < 1
}

// backOff doubles the gap between urgent requests, up to borrowPeriod, while the owner has no permits for them, and
// otherwise resets it to minGap.
func (a *account) backOff(sent pimclock.Instant, satisfied bool) {
	a.urgentGap = min(2*a.urgentGap, borrowPeriod)
	if satisfied || a.urgentGap == 0 {
		a.urgentGap = minGap
	}
	a.nextUrgent = sent.Add(a.urgentGap)
}

// retryAfter estimates when n permits will have accrued.
func (a *account) retryAfter(n float64) time.Duration {
	rate := max(a.grant.rate, a.own.rate)
	if rate <= 0 {
		return borrowPeriod
	}
	wait := time.Duration((n - max(a.grant.tokens, a.own.tokens)) / rate * float64(time.Second))
	return min(max(wait, minGap), lease)
}

// lend lends the share to an owner for one lease and returns the own permits, which move to the owner's pool.
func (a *account) lend(now pimclock.Instant, to ownerID, sequence uint64) (permits float64) {
	if !a.lent(now) {
		a.own.advance(now)
		permits = a.own.tokens
	}
	a.own.resize(now, 0, 0)
	a.lentTo, a.lentSequence = to, sequence
	a.lentUntil = now.Add(lease)
	return permits
}

// reclaim takes back the share that the owner returned in its answer to the request with the sequence number
// answered, unless a later message lent it again.
func (a *account) reclaim(now pimclock.Instant, answered uint64, s share, permits float64) {
	if a.lentSequence > answered || !a.lent(now) {
		return
	}
	a.lentUntil, a.releasing = now, false
	a.own = bucket{tokens: min(permits, s.depth), rate: s.rate, depth: s.depth, last: now}
}

// mayLend reports whether the share is free or already lent to this incarnation of the owner.
func (a *account) mayLend(now pimclock.Instant, to ownerID) bool {
	return !a.lent(now) || a.lentTo == to
}
