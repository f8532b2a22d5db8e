package pimquota

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against permits that are used after their expiry, counted from the time when they were asked for.
func TestLateGrantsAreIgnored(t *testing.T) {
	is := is.New(t)
	var requests []*pimpb.BorrowQuotaRequest
	p := New(Config{
		Self:    1,
		OwnerOf: func(pimid.ContractID) pimid.NodeID { return 2 },
		Send:    func(_ pimid.NodeID, req *pimpb.BorrowQuotaRequest) { requests = append(requests, req) },
	})
	limits := map[pimid.ContractID]Limit{simContract: faultLimit}
	grant := func(now pimclock.Instant, sequence uint64) {
		p.Deliver(now, 2, &pimpb.BorrowQuotaReply{
			Sequence: sequence, StampNs: int64(now),
			Grants: []*pimpb.QuotaGrant{{Contract: 1, Permits: 3, Depth: 3, ValidNs: int64(grantValidity)}},
		})
	}
	take := func(now pimclock.Instant) bool {
		ok, _ := p.Take(now, simContract, 1)
		return ok
	}
	start := pimclock.Instant(time.Hour)
	p.Publish(start, Publication{Nodes: 8, Listed: true, Limits: limits})
	take(start) // only a VM with demand asks
	p.Tick(start)
	grant(start.Add(grantValidity-time.Millisecond), requests[0].GetSequence())
	is.True(take(start.Add(grantValidity - time.Millisecond)))
	is.True(!take(start.Add(grantValidity))) // expired, though it arrived a millisecond ago
	p.Tick(start.Add(time.Second))
	p.Tick(start.Add(2 * time.Second))
	grant(start.Add(2*time.Second), requests[1].GetSequence())
	is.True(!take(start.Add(2 * time.Second))) // the owner took back its grant for the earlier request
}

// Guards against an owner that acts on a request that was overtaken by a later one of the same member.
func TestOvertakenRequestsAreIgnored(t *testing.T) {
	is := is.New(t)
	o := newOwner(5)
	ask := func(sequence uint64, permits float64) []*pimpb.QuotaGrant {
		return o.borrow(pimclock.Instant(time.Minute), &pimpb.BorrowQuotaRequest{
			Node: 1, Incarnation: 1, Sequence: sequence, LeaseNs: int64(lease),
			EchoNs: int64(time.Minute), OwnerIncarnation: 5,
			Demands: []*pimpb.QuotaDemand{{Contract: 1, Permits: permits, LentRate: 1, LentDepth: 4}},
		}).GetGrants()
	}
	is.Equal(len(ask(2, 0)), 1)
	is.Equal(len(ask(1, 1)), 0)
	is.Equal(len(o.pools[simContract].order[0].grants), 1)
}

// Guards against a blocked caller that is not woken when its permit arrives, when its wait limit ends or when it gives up.
func TestAwait(t *testing.T) {
	is := is.New(t)
	p := benchmarkPool(1)
	now := pimclock.Instant(2 * time.Second)
	wait := WaitLimit{Deadline: now.Add(time.Second), ExtendedDeadline: now.Add(time.Second)}
	ok, _ := p.Await(t.Context(), now, wait, 0, 1)
	is.True(ok)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	ok, _ = p.Await(gone, now, wait, 0, 1<<40)
	is.True(!ok)
	done, asked := make(chan bool), now
	go func() {
		ok, _ := p.Await(t.Context(), asked, wait, 0, 1<<40)
		done <- ok
	}()
	for waiting := true; waiting; {
		now = now.Add(simStep)
		p.Tick(now)
		select {
		case ok = <-done:
			waiting = false
		default:
		}
	}
	is.True(!ok)
}
