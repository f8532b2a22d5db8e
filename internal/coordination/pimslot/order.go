package pimslot

import (
	"math"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pick is one scheduling choice.
type pick struct {
	contract *contract
	host     *host
	index    int
	// pool marks the use of an unowned or lent slot.
	pool bool
}

// next chooses the next request to run: guaranteed slots first, then unowned and lent slots by priority.
func (s *service) next(now pimclock.Instant) (p pick, ok bool) {
	if p, ok = s.nextGuaranteed(now); ok {
		return p, true
	}
	return s.nextPool(now)
}

func (s *service) nextGuaranteed(now pimclock.Instant) (best pick, ok bool) {
	for _, c := range s.active {
		if !c.guarantee.allows(now, c.owned) || (ok && !ownsSooner(c, best.contract)) {
			continue
		}
		if h, i := s.place(now, c); h != nil {
			best, ok = pick{contract: c, host: h, index: i}, true
		}
	}
	return best, ok
}

// ownsSooner orders contracts with an available guaranteed slot: whole slots before fractional ones, the smaller used
// part of the guarantee among whole ones and the earlier start tag among fractional ones.
func ownsSooner(a, b *contract) bool {
	wholeA, wholeB := a.owned < a.guarantee.whole(), b.owned < b.guarantee.whole()
	if wholeA != wholeB {
		return wholeA
	}
	if wholeA {
		return float64(a.owned)*b.guarantee.limit < float64(b.owned)*a.guarantee.limit
	}
	return a.guarantee.tag < b.guarantee.tag
}

func (s *service) nextPool(now pimclock.Instant) (best pick, ok bool) {
	if len(s.active) == 0 || !s.poolAllows(now) {
		return pick{}, false
	}
	for _, c := range s.active {
		if !c.borrow.allows(now, c.borrowed) || (ok && !borrowsSooner(c, best.contract)) {
			continue
		}
		if h, i := s.place(now, c); h != nil {
			best, ok = pick{contract: c, host: h, index: i, pool: true}, true
		}
	}
	return best, ok
}

func borrowsSooner(a, b *contract) bool {
	if a.terms.Priority != b.terms.Priority {
		return a.terms.Priority < b.terms.Priority
	}
	return a.poolTag < b.poolTag
}

// poolAllows reports whether one more slot may be used without touching reserved guaranteed slots.
func (s *service) poolAllows(now pimclock.Instant) bool {
	reserved := 0.0
	for _, c := range s.reserving {
		reserved += c.reserved()
	}
	s.lending.account(now, s.running)
	s.lending.limit = math.Max(0, float64(s.capacity)-reserved)
	return s.lending.allows(now, s.running)
}

// place finds a host for the first request in the queue that can use one; only requests that exclude hosts are passed
// over.
func (s *service) place(now pimclock.Instant, c *contract) (best *host, index int) {
	const lookAhead = 4
	for i, e := range c.queue {
		if i == lookAhead {
			break
		}
		if h := s.freeHost(now, e.req); h != nil {
			return h, i
		}
		if len(e.req.Exclude) == 0 {
			break
		}
	}
	return nil, 0
}

// freeHost returns the free host with the fewest requests in flight; among equals, the one used least recently.
func (s *service) freeHost(now pimclock.Instant, r SlotRequest) (best *host) {
	for _, h := range s.hosts {
		if h.free(now, s.cfg) <= 0 || excluded(h.ID, r.Exclude) {
			continue
		}
		if best == nil || h.inFlight < best.inFlight || (h.inFlight == best.inFlight && h.lastGrant < best.lastGrant) {
			best = h
		}
	}
	return best
}
