package pimquota

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// owner answers the requests of members for the contracts that they assign to this VM.
type owner struct {
	incarnation pimid.Incarnation
	pools       map[pimid.ContractID]*sharedPool
	last        map[pimid.NodeID]lastRequest
}

// lastRequest identifies the newest request of a member; older ones that arrive late are void.
type lastRequest struct {
	incarnation pimid.Incarnation
	sequence    uint64
}

func newOwner(incarnation pimid.Incarnation) owner {
	return owner{
		incarnation: incarnation,
		pools:       map[pimid.ContractID]*sharedPool{},
		last:        map[pimid.NodeID]lastRequest{},
	}
}

func (o *owner) borrow(now pimclock.Instant, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	reply := &pimpb.BorrowQuotaReply{
		Sequence:         req.GetSequence(),
		StampNs:          int64(now),
		OwnerIncarnation: uint64(o.incarnation),
	}
	if !o.newest(req) {
		return reply
	}
	known := pimid.Incarnation(req.GetOwnerIncarnation()) == o.incarnation
	for _, d := range req.GetDemands() {
		p := o.pool(pimid.ContractID(d.GetContract()), now)
		p.advance(now)
		b := p.borrower(pimid.NodeID(req.GetNode()), pimid.Incarnation(req.GetIncarnation()))
		b.demand, b.flows, b.seen = d.GetRate(), d.GetFlows(), now
		p.settle(now, b, d)
		if d.GetRelease() && known && p.release(now, b) {
			reply.Grants = append(reply.Grants, &pimpb.QuotaGrant{Contract: d.GetContract(), Released: true})
			continue
		}
		if known {
			b.lend(now, req, d)
		}
		reply.Grants = append(reply.Grants, p.grant(now, b, req.GetSequence(), d))
	}
	return reply
}

// newest reports whether the request is newer than all seen of this member, and notes it.
func (o *owner) newest(req *pimpb.BorrowQuotaRequest) bool {
	node := pimid.NodeID(req.GetNode())
	got := lastRequest{incarnation: pimid.Incarnation(req.GetIncarnation()), sequence: req.GetSequence()}
	old := o.last[node]
	if got.incarnation < old.incarnation ||
		got.incarnation == old.incarnation && got.sequence <= old.sequence {
		return false
	}
	o.last[node] = got
	return true
}

func (o *owner) pool(id pimid.ContractID, now pimclock.Instant) *sharedPool {
	p := o.pools[id]
	if p == nil {
		p = &sharedPool{borrowers: map[pimid.NodeID]*borrower{}, last: now}
		o.pools[id] = p
	}
	return p
}

// tidy forgets pools that no member uses any more.
func (o *owner) tidy(now pimclock.Instant) {
	for id, p := range o.pools {
		if p.forget(now); len(p.order) == 0 {
			delete(o.pools, id)
		}
	}
}
