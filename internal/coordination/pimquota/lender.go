package pimquota

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// lender is the owner's record of the solicitations to one VM.
type lender struct {
	node pimid.NodeID
	// stamp is the time of the unanswered solicitation, zero if there is none; contracts are those it asked for.
	stamp     pimclock.Instant
	contracts []pimid.ContractID
	// backoff doubles while no answer arrives; the VM is not asked before retryAt.
	backoff time.Duration
	retryAt pimclock.Instant
	// refused holds the time of the last answer that did not lend the share of a contract.
	refused map[pimid.ContractID]pimclock.Instant
}

// expireSolicitations gives up the solicitations that were not answered within solicitTimeout.
func (o *owner) expireSolicitations(now pimclock.Instant) {
	o.pending = slices.DeleteFunc(o.pending, func(l *lender) bool {
		if l.stamp > 0 && now.Sub(l.stamp) >= solicitTimeout {
			l.stamp = 0
			l.backoff = min(max(2*l.backoff, minGap), maxSolicitBackoff)
			l.retryAt = now.Add(l.backoff)
		}
		return l.stamp == 0
	})
}

// canSolicit reports whether a VM can be asked for its share of a contract now.
func (o *owner) canSolicit(now pimclock.Instant, node pimid.NodeID, id pimid.ContractID) bool {
	l := o.lenders[node]
	if l == nil {
		return true
	}
	at, isRefused := l.refused[id]
	return l.stamp == 0 && !now.Before(l.retryAt) && (!isRefused || now.Sub(at) >= max(refusalTTL, o.meanHold()))
}

// startSolicitation records a solicitation of one VM and returns the request to send.
func (o *owner) startSolicitation(
	now pimclock.Instant, cfg Config, node pimid.NodeID, contracts []pimid.ContractID,
) *pimpb.BorrowQuotaRequest {
	l := o.lenders[node]
	if l == nil {
		l = &lender{node: node, refused: map[pimid.ContractID]pimclock.Instant{}}
		o.lenders[node] = l
	}
	l.stamp, l.contracts = now, contracts
	if !slices.Contains(o.pending, l) {
		o.pending = append(o.pending, l)
	}
	req := &pimpb.BorrowQuotaRequest{Node: uint32(cfg.Self), Incarnation: uint64(cfg.Incarnation), EchoNs: int64(now)}
	for _, id := range contracts {
		req.Solicited = append(req.Solicited, uint32(id))
	}
	return req
}

// collect adds the lent shares to the pools. An answer is ignored if it does not belong to the last solicitation, or
// if it was overtaken by a later message of the lender, which may have taken the share back.
func (o *owner) collect(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) {
	l := o.lenders[from]
	stamp := pimclock.Instant(reply.GetStampNs())
	if l == nil || l.stamp == 0 || l.stamp != stamp {
		return
	}
	contracts := l.contracts
	l.stamp, l.contracts, l.backoff, l.retryAt = 0, nil, 0, 0
	if !o.isNewest(from, pimid.Incarnation(reply.GetLenderIncarnation()), reply.GetSequence()) {
		return
	}
	for _, loan := range reply.GetLoans() {
		id := pimid.ContractID(loan.GetContract())
		contracts = slices.DeleteFunc(contracts, func(c pimid.ContractID) bool { return c == id })
		delete(l.refused, id)
		p := o.pool(id, now)
		p.advance(now)
		p.tokens += p.borrower(from).collect(now, stamp, loan)
		p.clamp(now)
	}
	for _, id := range contracts {
		l.refused[id] = now
	}
}
