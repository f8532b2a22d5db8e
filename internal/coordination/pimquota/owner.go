package pimquota

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// owner answers the requests of members for the contracts whose pools they assign to this VM.
type owner struct {
	incarnation  pimid.Incarnation
	pools        map[pimid.ContractID]*sharedPool
	lastMessages map[pimid.NodeID]messageID
	solicitor
	borrowerLimiter
}

// messageID identifies a message of a member; messages older than the newest one are late and ignored.
type messageID struct {
	incarnation pimid.Incarnation
	sequence    uint64
}

func newOwner(incarnation pimid.Incarnation) owner {
	return owner{
		incarnation:  incarnation,
		pools:        map[pimid.ContractID]*sharedPool{},
		lastMessages: map[pimid.NodeID]messageID{},
		solicitor:    solicitor{lenders: map[pimid.NodeID]*lender{}},
	}
}

// borrow answers the request of a member: it records the shares that the member lends and returns a grant for each demand.
func (o *owner) borrow(now pimclock.Instant, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	reply := &pimpb.BorrowQuotaReply{
		Sequence:         req.GetSequence(),
		StampNs:          int64(now),
		OwnerIncarnation: uint64(o.incarnation),
	}
	from := pimid.NodeID(req.GetNode())
	if !o.isNewest(from, pimid.Incarnation(req.GetIncarnation()), req.GetSequence()) {
		return reply
	}
	isSameIncarnation := pimid.Incarnation(req.GetOwnerIncarnation()) == o.incarnation
	for _, d := range req.GetDemands() {
		p := o.pool(pimid.ContractID(d.GetContract()), now)
		o.activate(p, now)
		p.advance(now)
		b := p.borrower(from)
		b.updateIncarnation(pimid.Incarnation(req.GetIncarnation()))
		if g := o.rejectBorrower(now, p, b, d); g != nil {
			reply.Grants = append(reply.Grants, g)
			continue
		}
		b.demand, b.flows, b.requestedAt = d.GetRate(), d.GetFlows(), now
		if d.GetRelease() && isSameIncarnation {
			if permits, ok := p.release(now, b); ok {
				g := &pimpb.QuotaGrant{Contract: d.GetContract(), Released: true, Permits: permits}
				reply.Grants = append(reply.Grants, g)
				continue
			}
		}
		p.reclaimUnused(now, b, d)
		if isSameIncarnation {
			p.tokens += b.lend(now, req, d)
			p.clamp(now)
		}
		g := p.grant(now, b, req.GetSequence(), d)
		p.recordShortage(now, d, g)
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// isNewest reports whether a message is newer than all others of this member, and records it as the newest if so.
func (o *owner) isNewest(node pimid.NodeID, incarnation pimid.Incarnation, sequence uint64) bool {
	got := messageID{incarnation: incarnation, sequence: sequence}
	old := o.lastMessages[node]
	if got.incarnation < old.incarnation ||
		got.incarnation == old.incarnation && got.sequence <= old.sequence {
		return false
	}
	o.lastMessages[node] = got
	return true
}

func (o *owner) pool(id pimid.ContractID, now pimclock.Instant) *sharedPool {
	p := o.pools[id]
	if p == nil {
		p = &sharedPool{id: id, borrowers: map[pimid.NodeID]*borrower{}, last: now}
		o.pools[id] = p
	}
	return p
}

// removeIdlePools deletes the pools that no member uses any more.
func (o *owner) removeIdlePools(now pimclock.Instant) {
	for id, p := range o.pools {
		if p.removeIdleBorrowers(now); len(p.order) == 0 {
			delete(o.pools, id)
		}
	}
}
