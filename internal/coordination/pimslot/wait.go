package pimslot

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// unboundedWait is the estimate for a request whose start cannot be foreseen; a quarter of the range leaves room for
// additions.
const unboundedWait = time.Duration(math.MaxInt64 / 4)

// wait estimates when a new request of the contract would start: the sooner of its guaranteed slots and the pool.
func (s *service) wait(now pimclock.Instant, c *contract) time.Duration {
	if s.capacity == 0 {
		return s.ejectionWait(now)
	}
	if len(c.queue) == 0 && s.freeSlot(now) && s.admissible(now, c) {
		return 0
	}
	return min(s.guaranteedWait(now, c), s.poolWait(c))
}

// admissible reports whether the contract may use one more slot now: a guaranteed one, or one of the pool if no request
// of any contract is waiting.
func (s *service) admissible(now pimclock.Instant, c *contract) bool {
	return c.guarantee.allows(now, c.guaranteedUsed) || (len(s.active) == 0 && c.borrow.allows(now, c.poolUsed) && s.poolAllows(now))
}

func (s *service) freeSlot(now pimclock.Instant) bool {
	for _, h := range s.hosts {
		if h.free(now, s.cfg) > 0 {
			return true
		}
	}
	return false
}

// ejectionWait returns the time until the first ejected host may be used again.
func (s *service) ejectionWait(now pimclock.Instant) time.Duration {
	until := unboundedWait
	for _, h := range s.hosts {
		if !h.removed && !h.Draining && h.health.ejected(now) {
			until = min(until, h.health.ejectedUntil.Sub(now))
		}
	}
	return until
}

// guaranteedWait estimates when a new request of the contract would start on a guaranteed slot.
func (s *service) guaranteedWait(now pimclock.Instant, c *contract) time.Duration {
	g := &c.guarantee
	if g.limit < minFraction {
		return unboundedWait
	}
	first := s.runTime(1, float64(s.capacity))
	switch {
	case c.guaranteedUsed < g.whole():
	case g.fraction() >= minFraction && c.guaranteedUsed == g.whole():
		first = max(first, g.tag.Sub(now))
	default:
		first = s.runTime(1, g.limit)
	}
	return first + s.runTime(float64(len(c.queue)), g.limit)
}

// poolWait estimates when a new request of the contract would start on a slot of the pool: the number of waiting requests
// before it, divided by the slots that guarantees leave.
func (s *service) poolWait(c *contract) time.Duration {
	slots, ahead := float64(s.capacity), float64(len(c.queue))
	for _, o := range s.active {
		slots -= math.Min(o.guarantee.limit, float64(o.guaranteedUsed+len(o.queue)))
		ahead += s.precedes(o, c)
	}
	slots = math.Min(slots, c.borrow.limit)
	if slots < minFraction {
		return unboundedWait
	}
	return s.runTime(ahead+1, slots)
}

// precedes estimates how many waiting requests of o get a slot of the pool before a new request of c.
func (s *service) precedes(o, c *contract) float64 {
	waiting := float64(len(o.queue))
	switch {
	case o == c || o.borrow.limit < minFraction || o.terms.Priority > c.terms.Priority:
		return 0
	case o.terms.Priority < c.terms.Priority:
		return waiting
	default:
		return math.Min(waiting, float64(len(c.queue)+1)*o.weight()/c.weight())
	}
}

// runTime returns the time that the given number of slots take to run n requests of mean duration.
func (s *service) runTime(n, slots float64) time.Duration {
	return time.Duration(n / slots * float64(s.meanDuration))
}
