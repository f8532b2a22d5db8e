package pimquota

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxPause is the longest time without a tick after which the own share is still used. During a longer pause, the
// published list may have dropped this VM for so long that other VMs use its share.
const maxPause = lease

// member borrows permits from the owners of the contracts.
type member struct {
	accounts map[pimid.ContractID]*account
	// order lists the accounts by contract id.
	order []*account
	// active lists the accounts that a tick processes: those with waiting or refused requests, a grant, a lent share
	// or an exchange with the owner.
	active []*account
	// byOwner groups the accounts by owner while requests are built.
	byOwner     map[pimid.NodeID][]*account
	links       map[pimid.NodeID]*link
	sequence    uint64
	growthDelay time.Duration
	// vmFraction is this VM's fraction of each limit of the data centre.
	vmFraction delayedIncrease
	nodes      int
	lastTick   pimclock.Instant
}

func newMember(growthDelay time.Duration) member {
	return member{
		accounts:    map[pimid.ContractID]*account{},
		byOwner:     map[pimid.NodeID][]*account{},
		links:       map[pimid.NodeID]*link{},
		growthDelay: growthDelay,
	}
}

// publish applies a publication. At the start, the own share is withheld for the growth delay unless the list has
// been published for that long.
func (m *member) publish(now pimclock.Instant, pub Publication) {
	if len(m.vmFraction.published) == 0 {
		m.lastTick = now
		if pub.InForce < m.growthDelay {
			m.vmFraction.publish(now, 0)
		}
	}
	m.nodes = pub.Nodes
	m.vmFraction.publish(now, pub.fraction())
	known := len(m.order)
	for id, limit := range pub.Limits {
		a := m.accounts[id]
		if a == nil {
			a = &account{id: id, flows: newFlowEstimator(now)}
			m.accounts[id] = a
			m.order = append(m.order, a)
		}
		a.limit, a.removed = limit, false
		a.dataCentreFraction.publish(now, limit.DataCentreFraction)
		a.updateOwnShare(now, m.share(now, a))
	}
	if len(m.order) > known {
		slices.SortFunc(m.order, func(a, b *account) int { return int(a.id) - int(b.id) })
	}
	if len(m.order) > len(pub.Limits) {
		m.remove(now, pub)
	}
}

// remove deletes the accounts of the contracts that are no longer published, once they are not busy.
func (m *member) remove(now pimclock.Instant, pub Publication) {
	m.order = slices.DeleteFunc(m.order, func(a *account) bool {
		if _, ok := pub.Limits[a.id]; ok {
			return false
		}
		a.limit, a.removed = Limit{}, true
		if a.busy(now) {
			return false
		}
		delete(m.accounts, a.id)
		return true
	})
}

// fraction returns this VM's fraction of the limits of the data centre; a VM that is not listed has none.
func (pub Publication) fraction() float64 {
	if !pub.Listed || pub.Nodes == 0 {
		return 0
	}
	return 1 / float64(pub.Nodes)
}

// share returns the share of a contract's limits that this VM owns now.
func (m *member) share(now pimclock.Instant, a *account) share {
	if now.Sub(m.lastTick) > maxPause {
		return share{}
	}
	fraction := a.dataCentreFraction.current(now, m.growthDelay) * m.vmFraction.current(now, m.growthDelay)
	return share{rate: float64(a.limit.Rate) * fraction, depth: a.limit.Burst * fraction}
}

// shareOf estimates the share that every VM owns of a contract.
func (m *member) shareOf(id pimid.ContractID) share {
	a := m.accounts[id]
	if a == nil {
		return share{}
	}
	fraction := a.limit.DataCentreFraction / float64(max(m.nodes, 1))
	return share{rate: float64(a.limit.Rate) * fraction, depth: a.limit.Burst * fraction}
}

// take takes n permits at once if there are any and no earlier request waits.
func (m *member) take(now pimclock.Instant, contract pimid.ContractID, n float64) (ok bool, retryAfter time.Duration) {
	a := m.accounts[contract]
	if a == nil {
		return false, lease
	}
	a.demand.add(now, n)
	a.updateOwnShare(now, m.share(now, a))
	if len(a.queue) == 0 && a.take(now, n) {
		return true, 0
	}
	return false, a.retryAfter(n)
}

// tick serves the waiting requests of the active accounts. After a pause of more than maxPause it withholds the own
// share for the growth delay.
func (m *member) tick(now pimclock.Instant) (notices []notice) {
	if now.Sub(m.lastTick) > maxPause {
		m.vmFraction.restart(now)
	}
	m.lastTick = now
	m.active = slices.DeleteFunc(m.active, func(a *account) bool {
		a.updateOwnShare(now, m.share(now, a))
		notices = append(notices, m.serve(now, a)...)
		a.active = !a.idle(now)
		return !a.active
	})
	return notices
}

func (m *member) openFlow(now pimclock.Instant, contract pimid.ContractID) (ok bool) {
	a := m.accounts[contract]
	if a == nil {
		return false
	}
	// The number of VMs needs no growth delay here, since the estimate is statistical anyway.
	limit := float64(a.limit.Flows) * a.limit.DataCentreFraction
	if a.flowSum.isFresh(now) {
		ok = a.flowSum.hasRoom(limit, m.nodes)
	} else {
		ok = a.flows.hasRoom(now, limit/float64(max(m.nodes, 1)))
	}
	if ok {
		a.flows.open(now)
		a.flowSum.opens++
	}
	m.extendFlowExchange(now, a)
	return ok
}

func (m *member) refreshFlow(now pimclock.Instant, contract pimid.ContractID) {
	if a := m.accounts[contract]; a != nil {
		a.flows.add(now)
		m.extendFlowExchange(now, a)
	}
}
