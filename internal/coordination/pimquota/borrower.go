package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// borrower is the owner's record of one member.
type borrower struct {
	node        pimid.NodeID
	incarnation pimid.Incarnation

	demand float64
	flows  float64
	seen   pimclock.Instant

	lentRate  float64
	lentDepth float64
	leaseEnd  pimclock.Instant

	// given holds the grants that the member may be using; it uses only one of them.
	given []given
}

// given is one grant that has not expired.
type given struct {
	sequence uint64
	rate     float64
	depth    float64
	added    float64
	expires  pimclock.Instant
	// earlierRun is set if the grant went to an earlier incarnation of the member.
	earlierRun bool
}

// lend registers the member's share. The lease counts from the owner's stamp that the request echoes, which is earlier
// than the time when the member sent the request, so that it ends here before it ends there.
func (b *borrower) lend(now pimclock.Instant, req *pimpb.BorrowQuotaRequest, d *pimpb.QuotaDemand) {
	end := pimclock.Instant(req.GetEchoNs()).Add(min(time.Duration(req.GetLeaseNs()), lease))
	if d.GetLentRate() <= 0 || !now.Before(end) {
		return
	}
	b.lentRate, b.lentDepth, b.leaseEnd = d.GetLentRate(), d.GetLentDepth(), end
}

// active returns the largest rate and depth that the member may be using.
func (b *borrower) active(now pimclock.Instant) (rate, depth float64) {
	for _, g := range b.given {
		if now.Before(g.expires) {
			rate, depth = max(rate, g.rate), max(depth, g.depth)
		}
	}
	return rate, depth
}

// confirm drops all grants but the one in use and returns the permits of those that the member will never use. Grants to
// an earlier run of the member stay until they expire, since it is not known what that run used.
func (b *borrower) confirm(now pimclock.Instant, d *pimpb.QuotaDemand) (unused float64) {
	kept := b.given[:0]
	for _, g := range b.given {
		switch {
		case !now.Before(g.expires):
		case g.earlierRun:
			kept = append(kept, g)
		case d.GetRelease():
		case g.sequence == d.GetGrant():
			if g.rate == 0 {
				g.depth = min(g.depth, d.GetHeld())
			}
			kept = append(kept, g)
		case g.sequence > d.GetGrant():
			unused += g.added
		}
	}
	b.given = kept
	return unused
}

// restart notes that the member runs in a new incarnation.
func (b *borrower) restart() {
	for i := range b.given {
		b.given[i].earlierRun = true
	}
}

func (b *borrower) idle(now pimclock.Instant) bool {
	rate, depth := b.active(now)
	return rate == 0 && depth == 0 && !now.Before(b.leaseEnd) && now.Sub(b.seen) > demandMemory
}
