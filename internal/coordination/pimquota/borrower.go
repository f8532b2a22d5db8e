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
	// incarnation is the run of the member that sent the last request.
	incarnation pimid.Incarnation
	demand      float64
	flows       float64
	requestedAt pimclock.Instant
	// accepted is set if the member has one of the places of the pool.
	accepted bool

	lentRate  float64
	lentDepth float64
	leaseEnd  pimclock.Instant

	// grants holds the grants that the member may be using; it uses only one of them.
	grants []issuedGrant
}

// issuedGrant is one grant that has not expired.
type issuedGrant struct {
	sequence uint64
	rate     float64
	depth    float64
	permits  float64
	expires  pimclock.Instant
}

// lend registers the member's share. The lease counts from the owner's stamp that the request echoes, which is earlier
// than the time when the member sent the request, so that it ends here before it ends there.
func (b *borrower) lend(now pimclock.Instant, req *pimpb.BorrowQuotaRequest, d *pimpb.QuotaDemand) (permits float64) {
	end := pimclock.Instant(req.GetEchoNs()).Add(min(time.Duration(req.GetLeaseNs()), lease))
	if d.GetLentRate() <= 0 || !now.Before(end) {
		return 0
	}
	b.lentRate, b.lentDepth, b.leaseEnd = d.GetLentRate(), d.GetLentDepth(), end
	return d.GetLentPermits()
}

// collect registers a share that was lent in answer to a solicitation with the given stamp.
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

// updateIncarnation notes the run of the member. What an earlier run was granted may have been used.
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

// dropUnusedGrants drops all grants but the one in use and returns the permits of those that the member will never use.
func (b *borrower) dropUnusedGrants(d *pimpb.QuotaDemand) (unused float64) {
	if d.GetRelease() {
		b.grants = nil
		return 0
	}
	kept := b.grants[:0]
	for _, g := range b.grants {
		switch {
		case g.sequence == d.GetGrant():
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

func (b *borrower) idle(now pimclock.Instant) bool {
	rate, depth := b.inUse(now)
	return rate == 0 && depth == 0 && !now.Before(b.leaseEnd) && now.Sub(b.requestedAt) > demandTTL
}
