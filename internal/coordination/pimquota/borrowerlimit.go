package pimquota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// maxBorrowers bounds the members of a large data centre that borrow from one pool at a time. A borrower costs the
	// owner about 400 bytes a second of answers, and with many of them the shares are all in use anyway.
	maxBorrowers = 4
	// holdPerVM times the number of VMs is the mean time after which a rejected member asks again, so that an owner
	// answers at most 20 such requests a second for one contract.
	holdPerVM = 50 * time.Millisecond
	// oversubscribedFraction is the fraction of the VMs that a pool must have rejected recently to count as
	// oversubscribed.
	oversubscribedFraction = 0.5
	// maxLenderUse is the largest fraction of its share that a VM of a large data centre may need itself and still
	// lend the share. Beyond it the VM would have to borrow at once.
	maxLenderUse = 0.5
)

// borrowerLimiter rejects members that ask a pool with too many borrowers.
type borrowerLimiter struct {
	rng     *rand.Rand
	shareOf func(pimid.ContractID) share
}

// isBorrower reports whether an earlier request made the member one of the borrowers of the pool and is not older
// than grantValidity.
func (b *borrower) isBorrower(now pimclock.Instant) bool {
	return b.accepted && now.Sub(b.requestedAt) <= grantValidity
}

// rejectBorrower returns the answer to a member that the pool rejects, nil if it accepts the member. A rejected
// member keeps its own share. A member whose share holds no full permit could not use it alone and is never
// rejected. A member with a grant is rejected only while the pool is oversubscribed; it may use the grant until the
// answer arrives, so its share stays in the pool until the lease ends.
func (o *owner) rejectBorrower(now pimclock.Instant, p *sharedPool, b *borrower, d *pimpb.QuotaDemand) *pimpb.QuotaGrant {
	if len(o.members) <= smallFleet || b.isBorrower(now) && !o.isOversubscribed(now, p) {
		return nil
	}
	free := maxBorrowers
	if o.isOversubscribed(now, p) {
		free = 0
	}
	for _, other := range p.order {
		if other.isBorrower(now) {
			free--
		}
	}
	s := o.shareOf(p.id)
	_, depth := b.inUse(now)
	b.accepted = free > 0
	if b.accepted || depth > 0 && !o.isOversubscribed(now, p) || s.rate > 0 && s.depth < 1 {
		return nil
	}
	g := &pimpb.QuotaGrant{Contract: d.GetContract()}
	if depth == 0 {
		g.Permits, g.Released = p.release(now, b)
	}
	p.rejections.add(now, o.meanHold())
	b.demand, b.flows, b.requestedAt = 0, 0, 0
	g.HoldNs = int64(float64(o.meanHold()) * (0.5 + o.rng.Float64()))
	return g
}

// isOversubscribed reports whether most VMs were rejected within about the last mean hold time, so that there is
// nothing to lend.
func (o *owner) isOversubscribed(now pimclock.Instant, p *sharedPool) bool {
	return p.rejections.value(now, o.meanHold()) > oversubscribedFraction*float64(len(o.members))
}

// decayingCounter counts events; the count decays exponentially.
type decayingCounter struct {
	n    float64
	last pimclock.Instant
}

func (c *decayingCounter) value(now pimclock.Instant, timeConstant time.Duration) float64 {
	return c.n * math.Exp(-now.Sub(c.last).Seconds()/timeConstant.Seconds())
}

func (c *decayingCounter) add(now pimclock.Instant, timeConstant time.Duration) {
	c.n, c.last = c.value(now, timeConstant)+1, now
}

// meanHold returns the mean time between two requests of a rejected member.
func (o *owner) meanHold() time.Duration { return holdPerVM * time.Duration(len(o.members)) }

// mayLendUnderDemand reports whether the demand of this VM allows it to lend its share. The demand matters only in a
// large data centre, and only if the share holds a full permit.
func (m *member) mayLendUnderDemand(now pimclock.Instant, a *account, s share) bool {
	a.demand.decay(now)
	return m.nodes <= smallFleet || s.depth < 1 || a.demand.rate <= maxLenderUse*s.rate
}
