package pimquota

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// grantedDepthFraction is the fraction of the depth that is granted to members with a rate. The owner needs the rest
// to hold the permits that accrue between two requests; without it they would be lost under overload, when the
// members' depths add up to the whole depth.
const grantedDepthFraction = 0.75

// tokenDivisor divides the owner's permits: a member with a rate gets at most the quotient at once. Capacity beyond
// the demands stays at the owner, which gives it to whichever member has a random peak.
const tokenDivisor = 4

// maxHeadroom is the largest factor by which granted rates exceed the demands while the pool has spare rate. With
// headroom, members ask less often at random peaks.
const maxHeadroom = 1.25

// sharedPool is the owner's pool of one contract: the shares that members lend, less what they have been granted.
// Its own permits, the depths of all grants and the depths of all shares that are not lent never add up to more than
// the burst, and the same holds for the rates; hence no window of time admits more than rate times time plus burst.
type sharedPool struct {
	id         pimid.ContractID
	collection collection
	// rejections counts the rejected requests of members.
	rejections decayingCounter
	borrowers  map[pimid.NodeID]*borrower
	// order lists the borrowers in the order of their first message, so that sums do not depend on map iteration.
	order []*borrower
	// tokens is the number of permits in the pool at the time last.
	tokens float64
	last   pimclock.Instant
	// level is the fair level of the demands at levelAt; demands is its scratch space.
	level   float64
	levelAt pimclock.Instant
	// headroom is the factor by which granted rates exceed the demands while the capacity allows it.
	headroom float64
	demands  []float64
}

// capacity returns the rate and depth of the shares whose leases last beyond the instant.
func (p *sharedPool) capacity(until pimclock.Instant) (rate, depth float64) {
	for _, b := range p.order {
		if until.Before(b.leaseEnd) {
			rate, depth = rate+b.lentRate, depth+b.lentDepth
		}
	}
	return rate, depth
}

// granted returns the rate and depth that members may be using, without those of the excluded one, which may be nil.
func (p *sharedPool) granted(now pimclock.Instant, exclude *borrower) (rate, depth float64) {
	for _, b := range p.order {
		if b != exclude {
			r, d := b.inUse(now)
			rate, depth = rate+r, depth+d
		}
	}
	return rate, depth
}

// advance adds the permits that accrued since the last call. A lease that ended since then counts as if it had ended
// before, and a grant that expired since then as if it were still valid, so that there are never too many permits.
func (p *sharedPool) advance(now pimclock.Instant) {
	rate, _ := p.capacity(now)
	used, _ := p.granted(p.last, nil)
	p.tokens += max(rate-used, 0) * now.Sub(p.last).Seconds()
	p.last = now
	p.clamp(now)
}

// clamp limits the permits of the pool to the depth that is not granted.
func (p *sharedPool) clamp(now pimclock.Instant) {
	_, depth := p.capacity(now)
	_, used := p.granted(now, nil)
	p.tokens = max(min(p.tokens, depth-used), 0)
}

func (p *sharedPool) borrower(node pimid.NodeID) *borrower {
	b := p.borrowers[node]
	if b == nil {
		b = &borrower{node: node}
		p.borrowers[node] = b
		p.order = append(p.order, b)
	}
	return b
}

// reclaimUnused takes back the grants that the member does not use.
func (p *sharedPool) reclaimUnused(now pimclock.Instant, b *borrower, d *pimpb.QuotaDemand) {
	p.tokens += b.dropUnusedGrants(d)
	p.clamp(now)
}

// release returns the share to the member, with the permits that fit it, if the grants of the others are covered
// without the share. The member uses no grant itself.
func (p *sharedPool) release(now pimclock.Instant, b *borrower) (permits float64, ok bool) {
	b.grants = nil
	end := b.leaseEnd
	b.leaseEnd = 0
	rate, depth := p.capacity(now.Add(grantValidity))
	usedRate, usedDepth := p.granted(now, b)
	if usedRate > rate+rounding || usedDepth > depth+rounding {
		b.leaseEnd = end
		return 0, false
	}
	if now.Before(end) {
		permits = min(p.tokens, b.lentDepth)
		p.tokens -= permits
	}
	p.clamp(now)
	return permits, true
}

// rateFor returns the rate for the member according to its demand.
func (p *sharedPool) rateFor(now pimclock.Instant, b *borrower, capacity float64) float64 {
	if now.Sub(p.levelAt) >= levelPeriod || p.levelAt == 0 {
		p.removeIdleBorrowers(now)
		p.demands = p.demands[:0]
		for _, o := range p.order {
			if now.Sub(o.requestedAt) <= demandTTL {
				p.demands = append(p.demands, o.demand)
			}
		}
		p.level, p.levelAt = fairLevel(capacity, p.demands), now
		p.headroom = min(max(capacity/max(p.demand(now), 1), 1), maxHeadroom)
	}
	return min(b.demand*p.headroom, p.level, capacity)
}

// grant gives the member permits, or a rate, from the pool. The leases behind a grant outlast it, so that it stays
// covered whatever happens to the members meanwhile.
func (p *sharedPool) grant(now pimclock.Instant, b *borrower, sequence uint64, d *pimpb.QuotaDemand) *pimpb.QuotaGrant {
	rate, depth := p.capacity(now.Add(grantValidity))
	usedRate, usedDepth := p.granted(now, b)
	freeRate, freeDepth := max(rate-usedRate, 0), max(depth-usedDepth, 0)
	g := issuedGrant{sequence: sequence, expires: now.Add(grantValidity)}
	if wanted := p.rateFor(now, b, rate); rate > 0 && depth*wanted/rate >= rateDepth {
		g.rate = min(wanted, freeRate)
		g.depth = min(grantedDepthFraction*depth*wanted/rate, freeDepth)
		g.permits = max(min(p.tokens/tokenDivisor, g.depth-d.GetHeld()), 0)
	} else {
		want := p.wholePermits(d, depth/float64(len(p.borrowers)))
		g.permits = min(want, math.Floor(max(freeDepth-d.GetHeld(), 0)+rounding))
		g.depth = min(d.GetHeld()+g.permits, freeDepth)
	}
	p.tokens -= g.permits
	b.grants = append(b.grants, g)
	p.clamp(now)
	flows, members := p.flows(now)
	return &pimpb.QuotaGrant{
		Flows:    flows,
		Members:  members,
		Contract: d.GetContract(),
		Permits:  g.permits,
		ValidNs:  int64(grantValidity / time.Nanosecond),
		Rate:     g.rate,
		Depth:    g.depth,
	}
}

// wholePermits returns the number of whole permits for a member without a rate: those it lacks now, and those it
// will probably need until its next request, as far as limit, an equal share of the depth, holds them. With less than
// one permit per member nothing is granted in advance, since members that do not use a permit would keep it from the
// others.
func (p *sharedPool) wholePermits(d *pimpb.QuotaDemand, limit float64) float64 {
	ahead := min(d.GetRate()*borrowPeriod.Seconds()+1, limit)
	want := max(d.GetPermits(), math.Floor(ahead-d.GetHeld()))
	return min(want, math.Floor(p.tokens+rounding))
}

// flows adds up the flows that the members counted.
func (p *sharedPool) flows(now pimclock.Instant) (sum float64, members uint32) {
	for _, b := range p.order {
		if now.Sub(b.requestedAt) <= demandTTL {
			sum += b.flows
			members++
		}
	}
	if sum == 0 {
		return 0, 0
	}
	return sum, members
}

// removeIdleBorrowers drops the members that neither lend nor use nor ask for permits.
func (p *sharedPool) removeIdleBorrowers(now pimclock.Instant) {
	p.order = slices.DeleteFunc(p.order, func(b *borrower) bool {
		if b.idle(now) {
			delete(p.borrowers, b.node)
			return true
		}
		return false
	})
}
