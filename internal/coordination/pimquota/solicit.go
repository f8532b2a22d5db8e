package pimquota

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// solicitor asks other VMs for their shares of the contracts with demand beyond the shares of the VMs that have it.
type solicitor struct {
	// members are the VMs of the data centre.
	members []pimid.NodeID
	// active lists the pools that members asked lately.
	active []*sharedPool
	asked  map[pimid.NodeID]*lender
	// lookedAt is when the owner last looked at all pools, at once, so that leases are renewed together.
	lookedAt pimclock.Instant
	// pending lists those of asked that have not answered yet.
	pending []*lender
}

// lookFactor times the number of VMs wanted is the number of VMs looked at.
const lookFactor = 4

// lender is the owner's exchange with one VM that may lend.
type lender struct {
	node pimid.NodeID
	// stamp is the time of the unanswered solicitation, zero if there is none; contracts is what it named.
	stamp     pimclock.Instant
	contracts []pimid.ContractID
	// silence doubles while no answer arrives; the VM is not asked before retryAt.
	silence time.Duration
	retryAt pimclock.Instant
	// refused is when the VM last lent nothing of a contract.
	refused map[pimid.ContractID]pimclock.Instant
}

func (o *owner) activate(p *sharedPool, now pimclock.Instant) {
	p.need.asked = now
	if !p.need.active {
		p.need.active, p.need.collecting = true, true
		o.active = append(o.active, p)
	}
}

// solicit returns the solicitations that must be sent now, one for each VM.
func (o *owner) solicit(now pimclock.Instant, cfg Config) (messages []message) {
	o.active = slices.DeleteFunc(o.active, func(p *sharedPool) bool {
		p.need.active = now.Sub(p.need.asked) <= demandMemory
		return !p.need.active
	})
	if len(o.active) == 0 {
		return nil
	}
	o.expire(now)
	isRound := now.Sub(o.lookedAt) >= lookPeriod
	if isRound {
		o.lookedAt = now
	}
	wanted := map[pimid.NodeID]*round{}
	for _, p := range o.active {
		if isRound || p.need.isUrgent() {
			o.choose(now, cfg, p, o.shareOf(p.id), wanted)
		}
	}
	for node, r := range wanted {
		if r.isDue {
			messages = append(messages, message{to: node, req: o.ask(now, cfg, node, r.contracts)})
		}
	}
	slices.SortFunc(messages, func(a, b message) int { return int(a.to) - int(b.to) })
	return messages
}

// expire gives up the solicitations that were not answered in time.
func (o *owner) expire(now pimclock.Instant) {
	o.pending = slices.DeleteFunc(o.pending, func(l *lender) bool {
		if l.stamp > 0 && now.Sub(l.stamp) >= solicitTimeout {
			l.stamp = 0
			l.silence = min(max(2*l.silence, minGap), maxSilence)
			l.retryAt = now.Add(l.silence)
		}
		return l.stamp == 0
	})
}

// choose returns the VMs to solicit for a pool: those whose leases must be renewed, and new ones at random, so that
// repeated rounds reach all VMs.
func (o *owner) choose(now pimclock.Instant, cfg Config, p *sharedPool, s share, wanted map[pimid.NodeID]*round) {
	if s.rate <= 0 || len(o.members) > smallFleet && o.isFlooded(now, p) {
		p.need.collecting = false
		return
	}
	held := p.lenders(now)
	want := p.wantShares(now, s, len(o.members), held)
	missing := want
	for _, b := range p.order {
		if missing == 0 || !b.lends(now) {
			continue
		}
		missing--
		rest := b.leaseEnd.Sub(now)
		if (rest < renewAlways || rest < renewEarly && !b.renewsItself(now)) && o.free(now, b.node, p.id) {
			add(wanted, b.node, p.id, rest < renewBefore)
		}
	}
	if missing <= 0 && now.Sub(p.need.shortAt) > collectingFor {
		p.need.collecting = false
		return
	}
	waiting := o.waiting(p)
	missing -= waiting
	candidates := o.candidates(now, cfg, p, max(missing, 1))
	p.need.collecting = waiting > 0 || held < mostShares(s, len(o.members)) && len(candidates) > 0
	for _, node := range candidates[:min(max(missing, 0), len(candidates))] {
		add(wanted, node, p.id, true)
	}
}

// round is what one VM is asked for now; isDue is set if that cannot wait for another contract.
type round struct {
	contracts []pimid.ContractID
	isDue     bool
}

func add(wanted map[pimid.NodeID]*round, node pimid.NodeID, id pimid.ContractID, isDue bool) {
	r := wanted[node]
	if r == nil {
		r = &round{}
		wanted[node] = r
	}
	r.contracts = append(r.contracts, id)
	r.isDue = r.isDue || isDue
}

// lenders returns the number of shares in the pool.
func (p *sharedPool) lenders(now pimclock.Instant) (n int) {
	for _, b := range p.order {
		if b.lends(now) {
			n++
		}
	}
	return n
}

// waiting returns the number of VMs that were asked for the contract and have neither answered nor lent yet.
func (o *owner) waiting(p *sharedPool) (n int) {
	for _, l := range o.pending {
		if b := p.borrowers[l.node]; l.stamp > 0 && slices.Contains(l.contracts, p.id) && (b == nil || !b.lends(l.stamp)) {
			n++
		}
	}
	return n
}

// candidates returns up to n VMs that lend nothing yet and can be asked: this VM first, since asking it costs nothing,
// then random ones. In a large data centre only some are looked at, which is cheaper than to look for the last free one.
func (o *owner) candidates(now pimclock.Instant, cfg Config, p *sharedPool, n int) (nodes []pimid.NodeID) {
	isFree := func(node pimid.NodeID) bool {
		b := p.borrowers[node]
		return (b == nil || !b.lends(now)) && o.free(now, node, p.id)
	}
	if slices.Contains(o.members, cfg.Self) && isFree(cfg.Self) {
		nodes = append(nodes, cfg.Self)
	}
	if len(o.members) <= smallFleet {
		first := len(nodes)
		for _, node := range o.members {
			if node != cfg.Self && isFree(node) {
				nodes = append(nodes, node)
			}
		}
		others := nodes[first:]
		cfg.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		return nodes[:min(n, len(nodes))]
	}
	for looks := lookFactor * n; looks > 0 && len(nodes) < n; looks-- {
		node := o.members[cfg.Rand.IntN(len(o.members))]
		if !slices.Contains(nodes, node) && isFree(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// free reports whether a VM can be asked for its share of a contract now.
func (o *owner) free(now pimclock.Instant, node pimid.NodeID, id pimid.ContractID) bool {
	l := o.asked[node]
	if l == nil {
		return true
	}
	at, isRefused := l.refused[id]
	return l.stamp == 0 && !now.Before(l.retryAt) && (!isRefused || now.Sub(at) >= max(refusalMemory, o.hold()))
}

func (o *owner) ask(
	now pimclock.Instant, cfg Config, node pimid.NodeID, contracts []pimid.ContractID,
) *pimpb.BorrowQuotaRequest {
	l := o.asked[node]
	if l == nil {
		l = &lender{node: node, refused: map[pimid.ContractID]pimclock.Instant{}}
		o.asked[node] = l
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

// collect adds the lent shares to the pools. An answer is void if it is not that to the last solicitation, or if it was
// overtaken by a later message of the lender, which may have taken the share back.
func (o *owner) collect(now pimclock.Instant, from pimid.NodeID, reply *pimpb.BorrowQuotaReply) {
	l := o.asked[from]
	stamp := pimclock.Instant(reply.GetStampNs())
	if l == nil || l.stamp == 0 || l.stamp != stamp {
		return
	}
	contracts := l.contracts
	l.stamp, l.contracts, l.silence, l.retryAt = 0, nil, 0, 0
	if !o.newest(from, pimid.Incarnation(reply.GetLenderIncarnation()), reply.GetSequence()) {
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
