package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// borrower is the owner's record of one member.
type borrower struct {
	node pimid.NodeID
	// incarnation is that of the member when it sent its last request.
	incarnation pimid.Incarnation
	demand      float64
	flows       float64
	// requestedAt is the time of the last request, zero if that was rejected or there is none.
	requestedAt pimclock.Instant
	// accepted is set if the member counts as one of the at most maxBorrowers borrowers of the pool.
	accepted bool

	// lentRate and lentDepth are the share that the member lends until leaseEnd.
	lentRate  float64
	lentDepth float64
	leaseEnd  pimclock.Instant

	// grants holds the grants that the member may be using; it uses only one of them.
	grants []issuedGrant
}

// issuedGrant is a grant that was sent to a member, which may be using it until it expires.
type issuedGrant struct {
	sequence uint64
	rate     float64
	depth    float64
	// permits is the number of permits that were added at once.
	permits float64
	expires pimclock.Instant
}

// lend records the share that the member lends with a request and returns the permits that come with it. The lease
// counts from the owner's time stamp that the request echoes. That is earlier than the time when the member sent the
// request, so the lease ends at the owner before it ends at the member.
func (b *borrower) lend(now pimclock.Instant, req *pimpb.BorrowQuotaRequest, d *pimpb.QuotaDemand) (permits float64) {
	end := pimclock.Instant(req.GetEchoNs()).Add(min(time.Duration(req.GetLeaseNs()), lease))
	if d.GetLentRate() <= 0 || !now.Before(end) {
		return 0
	}
	b.lentRate, b.lentDepth, b.leaseEnd = d.GetLentRate(), d.GetLentDepth(), end
	return d.GetLentPermits()
}

// collect records the share that was lent in answer to the solicitation with the given time stamp and returns the
// permits that come with it.
func (b *borrower) collect(now, stamp pimclock.Instant, l *pimpb.QuotaLoan) (permits float64) {
	end := stamp.Add(lease)
	if !now.Before(end) {
		return 0
	}
	b.lentRate, b.lentDepth, b.leaseEnd = l.GetRate(), l.GetDepth(), max(b.leaseEnd, end)
	return l.GetPermits()
}

// lends reports whether the member's share is in the pool.
func (b *borrower) lends(now pimclock.Instant) bool { return now.Before(b.leaseEnd) }

// renewsItself reports whether the member's own requests renew its lease.
func (b *borrower) renewsItself(now pimclock.Instant) bool {
	return now.Sub(b.requestedAt) <= borrowPeriod+replyTimeout
}

// asking reports whether the member takes part in the exchange as a borrower.
func (b *borrower) asking(now pimclock.Instant) bool {
	return b.requestedAt > 0 && now.Sub(b.requestedAt) <= demandTTL
}

// updateIncarnation records the incarnation of the member. After a restart, the permits of earlier grants are not
// taken back, since the previous process may have used them.
func (b *borrower) updateIncarnation(incarnation pimid.Incarnation) {
	if b.incarnation == incarnation {
		return
	}
	b.incarnation = incarnation
	for i := range b.grants {
		b.grants[i].permits = 0
	}
}

// inUse returns the largest rate and depth that the member may be using.
func (b *borrower) inUse(now pimclock.Instant) (rate, depth float64) {
	for _, g := range b.grants {
		if now.Before(g.expires) {
			rate, depth = max(rate, g.rate), max(depth, g.depth)
		}
	}
	return rate, depth
}

// dropUnusedGrants drops all grants but the one that the member reports as in use, and that one too if the member
// wants its share back. It returns the permits of the grants later than the one in use, which the member will never
// use.
func (b *borrower) dropUnusedGrants(d *pimpb.QuotaDemand) (unused float64) {
	if d.GetRelease() {
		b.grants = nil
		return 0
	}
	kept := b.grants[:0]
	for _, g := range b.grants {
		switch {
		case g.sequence == d.GetGrant():
			// Spent permits of a grant without a rate do not accrue again, so their depth need not be reserved.
			if g.rate == 0 {
				g.depth = min(g.depth, d.GetHeld())
			}
			kept = append(kept, g)
		case g.sequence > d.GetGrant():
			unused += g.permits
		}
	}
	b.grants = kept
	return unused
}

// idle reports whether the member neither lends nor uses nor asks for permits.
func (b *borrower) idle(now pimclock.Instant) bool {
	rate, depth := b.inUse(now)
	return rate == 0 && depth == 0 && !now.Before(b.leaseEnd) && now.Sub(b.requestedAt) > demandTTL
}
