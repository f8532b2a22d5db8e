package pimquota

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// account is the member's state of one contract.
type account struct {
	limit  Limit
	part   lagged
	own    bucket
	grant  grant
	flows  flowEstimator
	demand demand
	steady demand
	// kept is the steady demand that the kept part of the share covers.
	kept  float64
	queue []waiter
	// wanted is the number of permits that were refused since the last request, asked that of the last request.
	wanted float64
	asked  float64
	// gap is the shortest time to the next request with urgent demand, urgentAt its earliest time.
	gap      time.Duration
	urgentAt pimclock.Instant

	// lentTo holds a part of the share until lentUntil.
	lentTo    ownerRun
	lentUntil pimclock.Instant
	// leases are the parts that were lent and whose leases have not ended.
	leases []outLease
	// releasing is set while another owner was chosen and the holder of the share can still be asked to return it.
	releasing bool
}

// outLease is a part of the share that an owner may use until the lease ends.
type outLease struct {
	share
	until pimclock.Instant
}

const (
	// keptPart is the part of the own demand that a VM covers itself; permits that it keeps beyond its demand are lost.
	keptPart = 0.75
	// keptTime is the time for which the kept depth covers the demand; an owner's death is noticed sooner.
	keptTime = 500 * time.Millisecond
	// keptRate is the part of the rate that a VM keeps without demand, for its first requests.
	keptRate = 1.0 / 64
	// keptTolerance is the relative change of the steady demand that the kept part follows.
	keptTolerance = 0.25
	// keptDepth is the smallest number of permits that a VM keeps.
	keptDepth = 8
)

// ownerRun is one run of an owner process.
type ownerRun struct {
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

// resume brings the own permits up to date: the share without what is lent.
func (a *account) resume(now pimclock.Instant, s share) {
	lent := a.lentShare(now)
	a.own.resize(now, max(s.rate-lent.rate, 0), max(s.depth-lent.depth, 0))
}

// lentShare returns the largest part of the share that an owner may be using; it forgets leases that have ended.
func (a *account) lentShare(now pimclock.Instant) (lent share) {
	a.leases = slices.DeleteFunc(a.leases, func(l outLease) bool { return !now.Before(l.until) })
	for _, l := range a.leases {
		lent.rate, lent.depth = max(lent.rate, l.rate), max(lent.depth, l.depth)
	}
	return lent
}

// take takes n permits. Half of the own depth is a reserve that is used only when the grant has none left, so that
// chance arrivals are admitted while the owner does not answer.
func (a *account) take(now pimclock.Instant, n float64) bool {
	a.own.advance(now)
	if a.own.tokens-n >= a.own.depth/2 && a.own.take(now, n) {
		return true
	}
	return now.Before(a.grant.expires) && a.grant.take(now, n) || a.own.take(now, n)
}

// low reports whether a request is due before the period ends: refused demand, or the last permit of a grant is gone.
func (a *account) low(now pimclock.Instant) bool {
	if now.Before(a.urgentAt) {
		return false
	}
	return a.releasing || a.wanted > 0 || len(a.queue) > 0 || a.grant.depth >= 1 && a.grant.tokens < 1
}

// backOff adapts the gap to whether the owner had permits for what was asked.
func (a *account) backOff(sent pimclock.Instant, satisfied bool) {
	a.gap = min(2*a.gap, borrowPeriod)
	if satisfied || a.gap == 0 {
		a.gap = minGap
	}
	a.urgentAt = sent.Add(a.gap)
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

// lend hands the part of the share that own requests do not need to an owner for one lease, and returns it. Permits
// above the kept depth are given up, since the owner's pool grows instead.
func (a *account) lend(now pimclock.Instant, to ownerRun, s share) share {
	kept := a.keep(now, s)
	lent := share{rate: s.rate - kept.rate, depth: s.depth - kept.depth}
	a.lentTo = to
	a.lentUntil = now.Add(lease)
	a.leases = append(a.leases, outLease{share: lent, until: a.lentUntil})
	a.resume(now, s)
	return lent
}

// keep returns the part of the share that covers own requests, so that they go on while the owner does not answer. It
// is not larger than the demand, since a reserve on every VM would leave a fifth of the limit unused under an uneven
// spray; the depth covers chance arrivals. A share of few permits is lent as a whole, since a part admits nothing.
func (a *account) keep(now pimclock.Instant, s share) share {
	if s.depth < 2*keptDepth {
		return share{}
	}
	a.steady.decay(now)
	if math.Abs(a.steady.rate-a.kept) > keptTolerance*a.kept {
		a.kept = a.steady.rate
	}
	return share{
		rate:  min(s.rate, max(keptPart*a.kept, keptRate*s.rate)),
		depth: min(s.depth, max(a.kept*keptTime.Seconds(), keptDepth)),
	}
}

// mayLend reports whether the share is free or already lent to this run of the owner.
func (a *account) mayLend(now pimclock.Instant, to ownerRun) bool {
	return !a.lent(now) || a.lentTo == to
}
