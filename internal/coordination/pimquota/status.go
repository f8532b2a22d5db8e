package pimquota

import (
	"fmt"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ContractStatus is what a VM may use of one contract's hard limits now, and why.
type ContractStatus struct {
	Contract pimid.ContractID `json:"contract"`
	// OwnRate is the rate of the share that this VM owns, lent or not.
	OwnRate float64 `json:"own_rate"`
	// GrantRate is the rate that the pool owner granted; Permits can be used at once.
	GrantRate float64 `json:"grant_rate"`
	Permits   float64 `json:"permits"`
	// Demand is the smoothed rate of requests offered.
	Demand float64 `json:"demand"`
	// Flows is the estimate of this VM's share of the open flows.
	Flows float64 `json:"flows"`
	Why   string  `json:"why"`
}

// Status returns the state of all contracts by id.
func (p *Pool) Status(now pimclock.Instant) (rows []ContractStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.member.order {
		rows = append(rows, p.member.status(now, a))
	}
	return rows
}

func (m *member) status(now pimclock.Instant, a *account) ContractStatus {
	a.demand.decay(now)
	s := ContractStatus{
		Contract: a.id, OwnRate: m.share(now, a).rate, Demand: a.demand.rate, Flows: a.flows.estimate(now), Why: m.why(now, a),
	}
	if now.Before(a.grant.expires) {
		a.grant.advance(now)
		s.GrantRate, s.Permits = a.grant.rate, a.grant.tokens
	}
	if !a.lent(now) {
		a.updateOwnShare(now, m.share(now, a))
		s.Permits += a.own.tokens
	}
	return s
}

// why explains which permits the VM may use.
func (m *member) why(now pimclock.Instant, a *account) string {
	left := a.lentUntil.Sub(now).Round(time.Millisecond)
	switch {
	case a.lent(now) && now.Before(a.grant.expires):
		return fmt.Sprintf("borrows from VM %d, which holds the share for %v", a.lentTo.node, left)
	case a.lent(now):
		return fmt.Sprintf("nothing until the lease of VM %d ends in %v", a.lentTo.node, left)
	case m.share(now, a).rate > 0 && now.Before(a.holdUntil):
		return "own share, since too many VMs borrow"
	case m.share(now, a).rate > 0 && !a.borrows(now):
		return "own share, which covers the demand"
	case m.share(now, a).rate > 0:
		return "own share, no pool owner answers"
	case now.Before(a.grant.expires):
		return "borrows without a share of its own, which is withheld after a join, a pause or a change of the list"
	default:
		return "nothing: no share in force and no pool owner answers"
	}
}
