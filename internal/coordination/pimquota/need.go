package pimquota

import (
	"math"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// spareRate is the ratio of the lent rate to the demand; chance maxima need more than the mean.
	spareRate = 1.5
	// minDepth is the depth in permits that a pool with demand collects at least.
	minDepth = 2
	// maxLenders bounds the shares that one pool collects in a large data centre. Renewing a lease costs about 130 bytes
	// a second, so more lenders would exceed the owner's budget for control traffic.
	maxLenders = 16
	// smallFleet is the number of VMs up to which a pool may collect all shares.
	smallFleet = 16
)

// need tells how many shares a pool collects.
type need struct {
	// active is set while the pool is on the owner's list, until no member has asked for demandMemory.
	active bool
	asked  pimclock.Instant
	// short is the number of permits that members lacked since the last look, shortAt when that was last so.
	short   float64
	shortAt pimclock.Instant
	// raised is the number of shares to collect while permits are lacking.
	raised int
	// collecting is set while more shares can be had.
	collecting bool
}

// note records what a member asked for and lacks after the grant, and tells it whether shares are still being solicited.
func (p *sharedPool) note(now pimclock.Instant, d *pimpb.QuotaDemand, g *pimpb.QuotaGrant) {
	p.need.asked = now
	if lack := d.GetPermits() - g.GetPermits(); lack > 0 && g.GetRate()*borrowPeriod.Seconds() < lack {
		p.need.short = max(p.need.short, lack)
		p.need.shortAt = now
		g.Collecting = p.need.collecting
	}
}

// isUrgent reports whether the owner must look at the pool in this tick.
func (n *need) isUrgent() bool { return n.short > 0 || n.collecting }

// wantShares returns the number of shares that the pool should hold.
func (p *sharedPool) wantShares(now pimclock.Instant, s share, nodes, lenders int) int {
	n := &p.need
	if now.Sub(n.shortAt) > demandMemory {
		n.raised = 0
	}
	if n.short > 0 {
		n.raised = max(n.raised, 2*lenders, lenders+sharesFor(n.short, s.depth))
		n.short = 0
	}
	want := max(sharesFor(spareRate*p.demand(now), s.rate), sharesFor(minDepth, s.depth), n.raised)
	return min(want, mostShares(s, nodes))
}

// mostShares returns the largest number of shares that a pool collects. Shares of less than one permit are of no use to
// the VMs that own them, so the demand alone decides how many are collected; the traffic then exceeds the budget if the
// demand needs more than about 70 of them.
func mostShares(s share, nodes int) int {
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
