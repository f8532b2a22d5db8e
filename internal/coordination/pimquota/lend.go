package pimquota

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// answerSolicitation answers a pool owner that needs shares. A share is lent only to the owner that this VM would
// ask itself, and to one owner at a time. The lease counts from the time stamp of the solicitation at the owner and
// from now at this VM, so that it ends at the owner first.
func (m *member) answerSolicitation(now pimclock.Instant, cfg Config, req *pimpb.BorrowQuotaRequest) *pimpb.BorrowQuotaReply {
	m.sequence++
	reply := &pimpb.BorrowQuotaReply{
		Solicited:         true,
		Sequence:          m.sequence,
		StampNs:           req.GetEchoNs(),
		LenderIncarnation: uint64(cfg.Incarnation),
	}
	to := ownerID{node: pimid.NodeID(req.GetNode()), incarnation: pimid.Incarnation(req.GetIncarnation())}
	for _, id := range req.GetSolicited() {
		if loan := m.loan(now, cfg, to, pimid.ContractID(id)); loan != nil {
			reply.Loans = append(reply.Loans, loan)
		}
	}
	return reply
}

// loan lends the share of one contract; nil if this VM has none to lend to this owner.
func (m *member) loan(now pimclock.Instant, cfg Config, to ownerID, id pimid.ContractID) *pimpb.QuotaLoan {
	a := m.accounts[id]
	if a == nil || a.removed || cfg.OwnerOf(id) != to.node || !a.mayLend(now, to) {
		return nil
	}
	s := m.share(now, a)
	if s.rate <= 0 || !m.mayLendUnderDemand(now, a, s) {
		return nil
	}
	a.updateOwnShare(now, s)
	m.activate(a)
	permits := a.lend(now, to, m.sequence)
	a.solicitedUntil = a.lentUntil
	return &pimpb.QuotaLoan{Contract: uint32(id), Rate: s.rate, Depth: s.depth, Permits: permits}
}
