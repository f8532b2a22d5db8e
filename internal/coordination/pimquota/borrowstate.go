package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// borrowFor is how long a member keeps borrowing after its demand last exceeded its share, and how long it keeps
	// exchanging flow counts after they last reached flowSumThreshold.
	borrowFor = time.Second
	// minSteadyRequests is the number of requests expected until the next exchange from which a member keeps its
	// grant up to date; below it, one exchange for each request costs less.
	minSteadyRequests = 0.5
	// flowSumThreshold is the fraction of this VM's share of the flow limit from which the sum of the pool owner is needed.
	flowSumThreshold = 0.8
	// maxOwnShareUse is the fraction of its share up to which the demand of a VM counts as covered by the share.
	maxOwnShareUse = 0.75
	// ownShareWait is how long a request waits for a permit of the own share before the owner is asked; it is short
	// against the wait limits of callers.
	ownShareWait = 25 * time.Millisecond
	// collectingFor is how long the owner's notice that it still solicits shares is valid.
	collectingFor = 100 * time.Millisecond
	// collectingGap is the longest time between two urgent requests while the owner solicits shares.
	collectingGap = 16 * time.Millisecond
)

// borrowState decides whether a member exchanges messages about a contract with its owner.
type borrowState struct {
	// borrowUntil is the end of the exchange about requests, flowsUntil that of the exchange about flows.
	borrowUntil pimclock.Instant
	flowsUntil  pimclock.Instant
	// holdUntil is when the member may ask again after the owner rejected it because of too many borrowers.
	holdUntil pimclock.Instant
	// collectingUntil is the time until which the owner is assumed to solicit shares, zero if it does not.
	collectingUntil pimclock.Instant
	// isSmall is set if the share holds no full permit.
	isSmall bool
	// solicitedUntil is the end of the last lease that the owner solicited.
	solicitedUntil pimclock.Instant
}

// lacksPermits reports whether requests were refused, or wait for permits that the own share will not have soon.
func (a *account) lacksPermits(now pimclock.Instant) bool {
	return a.refused > 0 || len(a.queue) > 0 && !a.ownShareCovers(now)
}

// ownShareCovers reports whether the own share will serve the waiting requests within ownShareWait and their wait
// limits. Short waits at random peaks then cost no messages.
func (a *account) ownShareCovers(now pimclock.Instant) bool {
	if a.lent(now) || a.own.rate <= 0 || a.queued() > a.own.depth {
		return false
	}
	wait := time.Duration((a.queued() - a.own.tokens) / a.own.rate * float64(time.Second))
	return wait <= ownShareWait && now.Add(wait).Before(a.queue[0].Deadline)
}

// demandFits reports whether the share alone covers the demand.
func (a *account) demandFits(s share) bool {
	return s.depth >= 1 && a.demand.rate <= maxOwnShareUse*s.rate
}

// shouldReturn reports whether the owner should return the share: it is lent, the demand fits it again and the owner
// did not solicit it.
func (a *account) shouldReturn(now pimclock.Instant, s share) bool {
	return a.lent(now) && !now.Before(a.borrowUntil) && !now.Before(a.solicitedUntil) && a.demandFits(s)
}

// borrows reports whether the demand needs more than the own share.
func (a *account) borrows(now pimclock.Instant) bool {
	return !now.Before(a.holdUntil) && (a.lacksPermits(now) || now.Before(a.borrowUntil))
}

// mustConfirm reports whether the owner must learn that the permits of a grant are spent. Until then it reserves the
// depth of the grant, and a pool of few permits could not refill.
func (a *account) mustConfirm(now pimclock.Instant) bool {
	return a.isSmall && now.Before(a.grant.expires) && a.grant.rate == 0 && a.grant.depth >= 1 && a.grant.tokens < 1
}

// asks reports whether the contract takes part in the exchange with its owner.
func (a *account) asks(now pimclock.Instant) bool {
	return a.releasing || a.borrows(now) || a.mustConfirm(now) || now.Before(a.flowsUntil) && !now.Before(a.holdUntil)
}

// extendBorrowing keeps the member borrowing if the demand is steady and the share does not cover it or lacked
// permits.
func (a *account) extendBorrowing(now pimclock.Instant, s share) {
	a.isSmall = s.depth < 1
	isSteady := a.demand.rate*borrowPeriod.Seconds() >= minSteadyRequests
	if isSteady && (!a.demandFits(s) || a.requested > 0 && !a.lent(now)) {
		a.borrowUntil = now.Add(borrowFor)
	}
}

// extendFlowExchange starts or prolongs the exchange about flows when this VM carries most of its share of the limit.
func (m *member) extendFlowExchange(now pimclock.Instant, a *account) {
	flowShare := float64(a.limit.Flows) * a.limit.DataCentreFraction / float64(max(m.nodes, 1))
	if a.limit.Flows > 0 && a.flows.estimate(now) >= flowSumThreshold*flowShare {
		a.flowsUntil = now.Add(borrowFor)
		m.activate(a)
	}
}

// suspend stops the exchange for d. Permits that were refused before are not asked for again.
func (a *account) suspend(now pimclock.Instant, d time.Duration) {
	a.holdUntil = now.Add(d)
	a.borrowUntil, a.flowsUntil, a.refused = 0, 0, 0
}

// activate adds the account to the active list.
func (m *member) activate(a *account) {
	if !a.active {
		a.active = true
		m.active = append(m.active, a)
	}
}
