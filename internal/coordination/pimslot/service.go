package pimslot

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// service is the scheduling state of one service at one owner.
type service struct {
	cfg       *Config
	policy    Policy
	hosts     []*host
	contracts map[pimid.ContractID]*contract
	// ordered lists the contracts in the order of the policy, so that equal inputs give equal decisions.
	ordered []*contract
	// active lists the contracts with waiting requests.
	active []*contract
	// reserving lists the contracts that do not lend all of their guaranteed slots.
	reserving []*contract
	// poolPacer limits the running slots of all contracts to the capacity without the reserved slots.
	poolPacer pacer
	// virtualTime is the largest start tag that was served from the pool, by priority.
	virtualTime map[int]float64
	// running counts the granted slots of all contracts.
	running int
	// capacity is the number of usable slots of all hosts.
	capacity int
	// meanDuration is the moving average of request durations.
	meanDuration time.Duration
}

func newService(cfg *Config, id pimid.ServiceID) *service {
	return &service{
		cfg:          cfg,
		policy:       Policy{Service: id},
		contracts:    map[pimid.ContractID]*contract{},
		virtualTime:  map[int]float64{},
		meanDuration: cfg.InitialDuration,
	}
}

// setPolicy replaces the terms and returns the waiting requests of the contracts that are no longer named; their running
// requests end normally.
func (s *service) setPolicy(now pimclock.Instant, p Policy) (dropped []*entry) {
	s.policy = p
	named := make(map[pimid.ContractID]bool, len(p.Contracts))
	s.ordered = s.ordered[:0]
	for _, t := range p.Contracts {
		named[t.ID] = true
		c := s.contracts[t.ID]
		if c == nil {
			c = &contract{id: t.ID}
			s.contracts[t.ID] = c
		}
		c.terms = t.Terms
		s.ordered = append(s.ordered, c)
	}
	for id, c := range s.contracts {
		if !named[id] {
			dropped = append(dropped, c.queue...)
			c.queue = nil
			delete(s.contracts, id)
		}
	}
	s.active = slices.DeleteFunc(s.active, func(c *contract) bool { return len(c.queue) == 0 })
	s.rescale(now)
	return dropped
}

// refresh recomputes the capacity, which changes with ownership, drain, ejection and slow start.
func (s *service) refresh(now pimclock.Instant) {
	capacity := 0
	for _, h := range s.hosts {
		capacity += h.capacity(now, s.cfg)
	}
	if capacity != s.capacity {
		s.capacity = capacity
		s.rescale(now)
	}
}

// rescale divides the owner's slots among the contracts; if the guarantees add up to more than the slots of the service,
// all are reduced in proportion.
func (s *service) rescale(now pimclock.Instant) {
	total, guaranteed := float64(s.policy.TotalSlots), 0.0
	if total <= 0 {
		total = float64(s.capacity)
	}
	for _, c := range s.ordered {
		guaranteed += float64(c.terms.GuaranteedSlots)
	}
	total = max(total, guaranteed, 1)
	s.reserving = s.reserving[:0]
	for _, c := range s.ordered {
		c.scale(now, float64(s.capacity), total)
		if c.lendable+slotEpsilon < c.guarantee.limit {
			s.reserving = append(s.reserving, c)
		}
	}
}

// enqueue appends a request to the queue of its contract.
func (s *service) enqueue(now pimclock.Instant, e *entry) {
	c := e.contract
	if len(c.queue) == 0 {
		c.activate(now, s.virtualTime[c.terms.Priority], s.cfg.ShareCredit)
		s.active = append(s.active, c)
	}
	c.push(e)
}

// dequeue removes the entry at index i of the contract's queue.
func (s *service) dequeue(c *contract, i int) {
	c.remove(i)
	if len(c.queue) > 0 {
		return
	}
	if i := slices.Index(s.active, c); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}

// observeDuration updates the moving average of request durations.
func (s *service) observeDuration(d time.Duration) {
	const weight = 16
	if d > 0 {
		s.meanDuration += (d - s.meanDuration) / weight
	}
}
