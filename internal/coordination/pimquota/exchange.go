package pimquota

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// due returns the requests that must be sent now, by owner; nil if there are none.
func (m *member) due(now pimclock.Instant, cfg Config) (requests map[pimid.NodeID]*pimpb.BorrowQuotaRequest) {
	for owner := range m.byOwner {
		m.byOwner[owner] = m.byOwner[owner][:0]
	}
	for _, a := range m.order {
		if a.removed {
			continue
		}
		owner := m.ownerOf(now, cfg, a)
		m.byOwner[owner] = append(m.byOwner[owner], a)
	}
	for owner, accounts := range m.byOwner {
		if len(accounts) == 0 || !m.link(owner).due(now, urgent(now, accounts)) {
			continue
		}
		if requests == nil {
			requests = map[pimid.NodeID]*pimpb.BorrowQuotaRequest{}
		}
		requests[owner] = m.request(now, cfg, owner, accounts)
	}
	return requests
}

// ownerOf returns the owner to ask: the one that holds the share until it is released, or the chosen one.
func (m *member) ownerOf(now pimclock.Instant, cfg Config, a *account) pimid.NodeID {
	chosen := cfg.OwnerOf(a.id)
	a.releasing = a.lent(now) && a.lentTo.node != chosen && m.link(a.lentTo.node).responsive(now)
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

func urgent(now pimclock.Instant, accounts []*account) bool {
	for _, a := range accounts {
		if a.low(now) {
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
	run := ownerRun{node: owner, incarnation: l.incarnation}
	for _, a := range accounts {
		d := a.ask(now)
		s := m.share(now, a)
		if s.rate > 0 && !a.releasing && l.responsive(now) && a.mayLend(now, run) {
			a.lend(now, run)
			d.LentRate, d.LentDepth = s.rate, s.depth
		}
		req.Demands = append(req.Demands, d)
	}
	return req
}

// ask describes the member's demand for one contract.
func (a *account) ask(now pimclock.Instant) *pimpb.QuotaDemand {
	a.demand.decay(now)
	a.asked, a.wanted = a.wanted+a.queued(), 0
	if a.releasing {
		a.grant = grant{sequence: a.grant.sequence}
	}
	d := &pimpb.QuotaDemand{Contract: uint32(a.id), Rate: a.demand.rate, Permits: math.Ceil(a.asked), Release: a.releasing}
	d.Flows = a.flows.estimate(now)
	a.sum.asked = a.sum.opens
	d.Grant = a.grant.sequence
	if now.Before(a.grant.expires) {
		a.grant.advance(now)
		d.Held = a.grant.tokens
	}
	return d
}

// deliver applies a reply. Grants in replies to any but the last request are void, since the owner takes them back when
// it receives the next request.
func (m *member) deliver(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) (notices []notice) {
	l := m.links[from]
	if l == nil || !l.receive(now, reply) {
		return nil
	}
	for _, g := range reply.GetGrants() {
		if a := m.accounts[pimid.ContractID(g.GetContract())]; a != nil {
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
	a.sum.update(l.sent, g.GetFlows(), g.GetMembers())
	if a.releasing && g.GetReleased() {
		a.lentUntil, a.releasing = now, false
	}
	a.backOff(l.sent, a.asked == 0 || g.GetPermits() >= 1)
}
