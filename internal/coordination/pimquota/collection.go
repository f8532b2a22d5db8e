package pimquota

import (
	"math"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// demandMargin is the ratio of the lent rate to the demand; random peaks need more than the mean.
	demandMargin = 1.5
	// minPoolDepth is the smallest depth in permits that a pool with demand collects.
	minPoolDepth = 2
	// maxLenders bounds the shares that one pool collects in a large data centre. Renewing a lease costs about 130 bytes
	// a second, so more lenders would exceed the owner's budget for control traffic.
	maxLenders = 16
	// smallFleet is the number of VMs up to which a pool may collect all shares.
	smallFleet = 16
)

// collection is the state that decides how many shares a pool collects.
type collection struct {
	// active is set while the pool is in the owner's active list, which it leaves when no member has asked for
	// demandTTL.
	active bool
	// requestedAt is the time of the last request of any member.
	requestedAt pimclock.Instant
	// shortage is the largest number of permits that a request lacked since the target was last computed; shortageAt
	// is when permits were last lacking.
	shortage   float64
	shortageAt pimclock.Instant
	// raisedTarget is the least number of shares to collect while permits are lacking.
	raisedTarget int
	// collecting is set while the pool needs shares and may still get some: solicitations are unanswered, or more
	// shares can be solicited.
	collecting bool
}

// recordShortage records the permits that a member lacks after the grant, and tells the member whether shares are
// still being solicited.
func (p *sharedPool) recordShortage(now pimclock.Instant, d *pimpb.QuotaDemand, g *pimpb.QuotaGrant) {
	p.collection.requestedAt = now
	if lack := d.GetPermits() - g.GetPermits(); lack > 0 && g.GetRate()*borrowPeriod.Seconds() < lack {
		p.collection.shortage = max(p.collection.shortage, lack)
		p.collection.shortageAt = now
		g.Collecting = p.collection.collecting
	}
}

// isUrgent reports whether the owner must solicit shares for the pool in this tick instead of in the next round.
func (c *collection) isUrgent() bool { return c.shortage > 0 || c.collecting }

// targetShares returns the number of shares that the pool should hold.
func (p *sharedPool) targetShares(now pimclock.Instant, s share, nodes, lenders int) int {
	c := &p.collection
	if now.Sub(c.shortageAt) > demandTTL {
		c.raisedTarget = 0
	}
	if c.shortage > 0 {
		c.raisedTarget = max(c.raisedTarget, 2*lenders, lenders+sharesFor(c.shortage, s.depth))
		c.shortage = 0
	}
	want := max(sharesFor(demandMargin*p.demand(now), s.rate), sharesFor(minPoolDepth, s.depth), c.raisedTarget)
	return min(want, maxShares(s, nodes))
}

// maxShares returns the largest number of shares that a pool collects. Shares of less than one permit are of no use to
// the VMs that own them, so the demand alone decides how many are collected; the traffic then exceeds the budget if the
// demand needs more than about 70 of them.
func maxShares(s share, nodes int) int {
	if nodes <= smallFleet || s.depth < 1 {
		return nodes
	}
	return min(maxLenders, nodes)
}

// sharesFor returns how many shares make up an amount.
func sharesFor(amount, share float64) int {
	if share <= 0 {
		return 0
	}
	return int(math.Ceil(min(amount/share, math.MaxInt16) - rounding))
}

// demand returns the rate that the members ask for.
func (p *sharedPool) demand(now pimclock.Instant) (rate float64) {
	for _, b := range p.order {
		if b.asking(now) {
			rate += b.demand
		}
	}
	return rate
}
