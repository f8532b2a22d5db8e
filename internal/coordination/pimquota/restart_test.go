package pimquota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// testMember sends requests of one member to an owner that holds 4 permits.
type testMember struct {
	owner       owner
	incarnation uint64
	sequence    uint64
}

func (a *testMember) ask(now pimclock.Instant, d *pimpb.QuotaDemand) *pimpb.QuotaGrant {
	a.sequence++
	d.Contract, d.LentRate, d.LentDepth = 1, 0.001, 4
	return a.owner.borrow(now, &pimpb.BorrowQuotaRequest{
		Node: 1, Incarnation: a.incarnation, Sequence: a.sequence, LeaseNs: int64(lease),
		EchoNs: int64(now.Add(-time.Millisecond)), OwnerIncarnation: 5, Demands: []*pimpb.QuotaDemand{d},
	}).GetGrants()[0]
}

// Guards against permits that the owner takes back although a member has spent them: after a restart of the member, and
// when the grant expired at the member but not yet at the owner.
func TestSpentPermitsAreNotTakenBack(t *testing.T) {
	is := is.New(t)
	now := pimclock.Instant(time.Minute)
	a := &testMember{owner: newOwner(5), incarnation: 7}
	a.ask(now, &pimpb.QuotaDemand{})
	a.owner.pools[simContract].tokens = 4
	is.Equal(a.ask(now, &pimpb.QuotaDemand{Permits: 4}).GetPermits(), 4.0)
	a.incarnation, a.sequence = 8, 0
	is.Equal(a.ask(now, &pimpb.QuotaDemand{Permits: 4}).GetPermits(), 0.0)
	is.Equal(a.owner.pools[simContract].tokens, 0.0)
}

// Guards against a member that reports no grant once its grant has expired, or that goes back to an earlier one: the
// owner then takes the permits of the later grant for unused.
func TestMemberReportsItsNewestGrant(t *testing.T) {
	is := is.New(t)
	var last *pimpb.BorrowQuotaRequest
	owner := pimid.NodeID(2)
	p := New(Config{
		Self:    1,
		OwnerOf: func(pimid.ContractID) pimid.NodeID { return owner },
		Send:    func(_ pimid.NodeID, req *pimpb.BorrowQuotaRequest) { last = req },
	})
	now := pimclock.Instant(time.Hour)
	reply := func(from pimid.NodeID, sequence uint64) {
		p.Deliver(now, from, &pimpb.BorrowQuotaReply{
			Sequence: sequence, Grants: []*pimpb.QuotaGrant{{Contract: 1, Permits: 1, Depth: 1, ValidNs: int64(grantValidity)}},
		})
	}
	p.Publish(now, Publication{Nodes: 8, Listed: true, Limits: map[pimid.ContractID]Limit{simContract: faultLimit}})
	// Only refused demand makes the member ask an owner.
	tick := func() {
		p.Take(now, simContract, 1)
		p.Tick(now)
	}
	tick()
	owner = 3
	tick()
	reply(3, 2)
	reply(2, 1) // the first owner answers late
	now = now.Add(grantValidity)
	tick()
	is.Equal(last.GetSequence(), uint64(3))
	is.Equal(last.GetDemands()[0].GetGrant(), uint64(2))
	is.Equal(last.GetDemands()[0].GetHeld(), 0.0)
}
