package pimquota

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// solicitor asks other VMs for their shares of contracts whose demand exceeds the shares of the VMs that receive it.
type solicitor struct {
	// members are the VMs of the data centre.
	members []pimid.NodeID
	// active lists the pools that members asked within demandTTL.
	active []*sharedPool
	// lenders holds the record of each VM that was solicited.
	lenders map[pimid.NodeID]*lender
	// lastRound is the time of the last solicitation round, in which the owner checks all pools at once so that
	// leases are renewed together.
	lastRound pimclock.Instant
	// pending lists the lenders that have not answered yet.
	pending []*lender
}

// samplesPerCandidate is the number of VMs that are drawn at random for each candidate wanted.
const samplesPerCandidate = 4

// activate records a request for the pool and adds the pool to the active list.
func (o *owner) activate(p *sharedPool, now pimclock.Instant) {
	p.collection.requestedAt = now
	if !p.collection.active {
		p.collection.active, p.collection.collecting = true, true
		o.active = append(o.active, p)
	}
}

// solicit returns the solicitations that must be sent now, one for each VM.
func (o *owner) solicit(now pimclock.Instant, cfg Config) (messages []message) {
	o.active = slices.DeleteFunc(o.active, func(p *sharedPool) bool {
		p.collection.active = now.Sub(p.collection.requestedAt) <= demandTTL
		return !p.collection.active
	})
	if len(o.active) == 0 {
		return nil
	}
	o.expireSolicitations(now)
	isRound := now.Sub(o.lastRound) >= solicitPeriod
	if isRound {
		o.lastRound = now
	}
	wanted := map[pimid.NodeID]*solicitation{}
	for _, p := range o.active {
		if isRound || p.collection.isUrgent() {
			o.chooseLenders(now, cfg, p, o.shareOf(p.id), wanted)
		}
	}
	for node, entry := range wanted {
		if entry.isDue {
			messages = append(messages, message{to: node, req: o.startSolicitation(now, cfg, node, entry.contracts)})
		}
	}
	slices.SortFunc(messages, func(a, b message) int { return int(a.to) - int(b.to) })
	return messages
}

// chooseLenders adds the VMs to solicit for a pool to wanted: those whose leases must be renewed, and new ones at
// random, so that repeated rounds reach all VMs.
func (o *owner) chooseLenders(now pimclock.Instant, cfg Config, p *sharedPool, s share, wanted map[pimid.NodeID]*solicitation) {
	if s.rate <= 0 || len(o.members) > smallFleet && o.isOversubscribed(now, p) {
		p.collection.collecting = false
		return
	}
	held := p.lenderCount(now)
	want := p.targetShares(now, s, len(o.members), held)
	missing := want
	for _, b := range p.order {
		if missing == 0 || !b.lends(now) {
			continue
		}
		missing--
		remaining := b.leaseEnd.Sub(now)
		if (remaining < renewAlways || remaining < renewEarly && !b.renewsItself(now)) && o.canSolicit(now, b.node, p.id) {
			addContract(wanted, b.node, p.id, remaining < renewBefore)
		}
	}
	if missing <= 0 && now.Sub(p.collection.shortageAt) > collectingFor {
		p.collection.collecting = false
		return
	}
	unanswered := o.unanswered(p)
	missing -= unanswered
	candidates := o.candidates(now, cfg, p, max(missing, 1))
	p.collection.collecting = unanswered > 0 || held < maxShares(s, len(o.members)) && len(candidates) > 0
	for _, node := range candidates[:min(max(missing, 0), len(candidates))] {
		addContract(wanted, node, p.id, true)
	}
}

// solicitation lists the contracts whose shares one VM is asked for; isDue is set if it must be sent now, not only
// together with a due contract of the same VM.
type solicitation struct {
	contracts []pimid.ContractID
	isDue     bool
}

func addContract(wanted map[pimid.NodeID]*solicitation, node pimid.NodeID, id pimid.ContractID, isDue bool) {
	entry := wanted[node]
	if entry == nil {
		entry = &solicitation{}
		wanted[node] = entry
	}
	entry.contracts = append(entry.contracts, id)
	entry.isDue = entry.isDue || isDue
}

// lenderCount returns the number of shares in the pool.
func (p *sharedPool) lenderCount(now pimclock.Instant) (n int) {
	for _, b := range p.order {
		if b.lends(now) {
			n++
		}
	}
	return n
}

// unanswered returns the number of VMs that were asked for the contract and have neither answered nor lent yet.
func (o *owner) unanswered(p *sharedPool) (n int) {
	for _, l := range o.pending {
		if b := p.borrowers[l.node]; l.stamp > 0 && slices.Contains(l.contracts, p.id) && (b == nil || !b.lends(l.stamp)) {
			n++
		}
	}
	return n
}

// candidates returns up to n VMs that lend nothing yet and can be asked: this VM first, since asking it costs
// nothing, then random ones. In a large data centre only a random sample is checked, which is cheaper than a search
// for the last VM that can be asked.
func (o *owner) candidates(now pimclock.Instant, cfg Config, p *sharedPool, n int) (nodes []pimid.NodeID) {
	isFree := func(node pimid.NodeID) bool {
		b := p.borrowers[node]
		return (b == nil || !b.lends(now)) && o.canSolicit(now, node, p.id)
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
	for samples := samplesPerCandidate * n; samples > 0 && len(nodes) < n; samples-- {
		node := o.members[cfg.Rand.IntN(len(o.members))]
		if !slices.Contains(nodes, node) && isFree(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
