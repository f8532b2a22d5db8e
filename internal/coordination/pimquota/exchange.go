package pimquota

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// due returns the requests that must be sent now, one for each owner.
func (m *member) due(now pimclock.Instant, cfg Config) (messages []message) {
	clear(m.byOwner)
	for _, a := range m.active {
		if a.removed {
			continue
		}
		owner := m.ownerOf(now, cfg, a)
		if !a.asks(now) {
			continue
		}
		m.byOwner[owner] = append(m.byOwner[owner], a)
	}
	for owner, accounts := range m.byOwner {
		if m.link(owner).due(now, anyUrgent(now, accounts)) {
			messages = append(messages, message{to: owner, req: m.request(now, cfg, owner, accounts)})
		}
	}
	slices.SortFunc(messages, func(a, b message) int { return int(a.to) - int(b.to) })
	return messages
}

// ownerOf returns the owner to ask: the one that holds the share until it is released, or the chosen one.
func (m *member) ownerOf(now pimclock.Instant, cfg Config, a *account) pimid.NodeID {
	chosen := cfg.OwnerOf(a.id)
	isOther := a.lentTo.node != chosen
	a.releasing = a.lent(now) && m.link(a.lentTo.node).responsive(now) && (isOther || a.shouldReturn(now, m.share(now, a)))
	if a.releasing {
		return a.lentTo.node
	}
	return chosen
}

func (m *member) link(owner pimid.NodeID) *link {
	l := m.links[owner]
	if l == nil {
		l = &link{timeout: replyTimeout}
		m.links[owner] = l
	}
	return l
}

func anyUrgent(now pimclock.Instant, accounts []*account) bool {
	for _, a := range accounts {
		if a.isUrgent(now) {
			return true
		}
	}
	return false
}

// request builds the next request to an owner; it lends the shares if the owner is known to be responsive.
func (m *member) request(
	now pimclock.Instant, cfg Config, owner pimid.NodeID, accounts []*account,
) *pimpb.BorrowQuotaRequest {
	l := m.link(owner)
	m.sequence++
	l.send(now, m.sequence)
	req := &pimpb.BorrowQuotaRequest{
		Node:             uint32(cfg.Self),
		Incarnation:      uint64(cfg.Incarnation),
		LeaseNs:          int64(lease),
		Sequence:         m.sequence,
		EchoNs:           int64(l.echo),
		OwnerIncarnation: uint64(l.incarnation),
	}
	to := ownerID{node: owner, incarnation: l.incarnation}
	for _, a := range accounts {
		s := m.share(now, a)
		isBorrowing := a.borrows(now)
		d := a.newDemand(now)
		a.extendBorrowing(now, s)
		if s.rate > 0 && isBorrowing && !a.releasing && l.responsive(now) && a.mayLend(now, to) {
			a.updateOwnShare(now, s)
			d.LentRate, d.LentDepth, d.LentPermits = s.rate, s.depth, a.lend(now, to, m.sequence)
		}
		req.Demands = append(req.Demands, d)
	}
	return req
}

// newDemand describes the member's demand for one contract. It counts the refused permits as requested and drops the
// grant of a member that wants its share back.
func (a *account) newDemand(now pimclock.Instant) *pimpb.QuotaDemand {
	a.demand.decay(now)
	a.requested, a.refused = a.refused+a.queued(), 0
	if a.releasing {
		a.grant = grant{sequence: a.grant.sequence}
	}
	d := &pimpb.QuotaDemand{Contract: uint32(a.id), Rate: a.demand.rate, Permits: math.Ceil(a.requested), Release: a.releasing}
	d.Flows = a.flows.estimate(now)
	a.flowSum.opensSent = a.flowSum.opens
	// An expired grant is reported too, since the owner would regard an unreported grant as never used and take its
	// permits back.
	d.Grant = a.grant.sequence
	if now.Before(a.grant.expires) {
		a.grant.advance(now)
		d.Held = a.grant.tokens
	}
	return d
}

// deliver applies a reply. Replies to any but the last request are ignored, since the owner takes their grants back
// when it receives the next request.
func (m *member) deliver(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) (notices []notice) {
	l := m.links[from]
	if l == nil || !l.receive(now, reply) {
		return nil
	}
	for _, g := range reply.GetGrants() {
		if a := m.accounts[pimid.ContractID(g.GetContract())]; a != nil {
			if g.GetReleased() {
				a.reclaim(now, l.sequence, m.share(now, a), g.GetPermits())
			}
			a.receive(now, l, g)
			notices = append(notices, m.serve(now, a)...)
		}
	}
	return notices
}

// receive replaces the grant in use, unless another owner has answered a later request: an owner that sees an earlier
// grant in use takes back the permits of the later ones.
func (a *account) receive(now pimclock.Instant, l *link, g *pimpb.QuotaGrant) {
	if l.sequence < a.grant.sequence {
		return
	}
	a.grant.advance(now)
	if !now.Before(a.grant.expires) {
		a.grant.tokens = 0
	}
	a.grant.sequence = l.sequence
	a.grant.expires = l.sent.Add(time.Duration(g.GetValidNs()))
	a.grant.rate, a.grant.depth = g.GetRate(), g.GetDepth()
	a.grant.tokens = min(a.grant.tokens+g.GetPermits(), a.grant.depth)
	a.flowSum.update(l.sent, g.GetFlows(), g.GetMembers())
	if g.GetHoldNs() > 0 {
		a.suspend(now, time.Duration(g.GetHoldNs()))
	}
	a.backOff(l.sent, a.requested == 0 || g.GetPermits() >= 1)
	if g.GetCollecting() {
		a.collectingUntil = now.Add(collectingFor)
		a.urgentGap = min(a.urgentGap, collectingGap)
		a.nextUrgent = l.sent.Add(a.urgentGap)
	} else {
		a.collectingUntil = 0
	}
}
