package pimslot

import (
	"math"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pick is the next grant: the waiting request at the index of the contract's queue and the host that runs it.
type pick struct {
	contract *contract
	host     *host
	index    int
	// fromPool reports that the slot is not one of the contract's guaranteed slots.
	fromPool bool
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
		if !c.guarantee.allows(now, c.guaranteedUsed) || (ok && !guaranteedBefore(c, best.contract)) {
			continue
		}
		if h, i := s.place(now, c); h != nil {
			best, ok = pick{contract: c, host: h, index: i}, true
		}
	}
	return best, ok
}

// guaranteedBefore reports whether a gets its available guaranteed slot before b: whole slots come before fractional
// ones. Among whole slots, the contract that uses the smaller fraction of its guarantee comes first; among fractional
// ones, that with the earlier start tag.
func guaranteedBefore(a, b *contract) bool {
	wholeA, wholeB := a.guaranteedUsed < a.guarantee.whole(), b.guaranteedUsed < b.guarantee.whole()
	if wholeA != wholeB {
		return wholeA
	}
	if wholeA {
		return float64(a.guaranteedUsed)*b.guarantee.limit < float64(b.guaranteedUsed)*a.guarantee.limit
	}
	return a.guarantee.tag < b.guarantee.tag
}

func (s *service) nextPool(now pimclock.Instant) (best pick, ok bool) {
	if len(s.active) == 0 || !s.poolAllows(now) {
		return pick{}, false
	}
	for _, c := range s.active {
		if !c.borrow.allows(now, c.poolUsed) || (ok && !poolBefore(c, best.contract)) {
			continue
		}
		if h, i := s.place(now, c); h != nil {
			best, ok = pick{contract: c, host: h, index: i, fromPool: true}, true
		}
	}
	return best, ok
}

// poolBefore reports whether a gets a slot of the pool before b: by priority, the lower number first, then by start
// tag.
func poolBefore(a, b *contract) bool {
	if a.terms.Priority != b.terms.Priority {
		return a.terms.Priority < b.terms.Priority
	}
	return a.poolTag < b.poolTag
}

// poolAllows reports whether one more slot may be used from the pool, so that the idle guaranteed slots that may not be
// lent stay free.
func (s *service) poolAllows(now pimclock.Instant) bool {
	reserved := 0.0
	for _, c := range s.reserving {
		reserved += c.reserved()
	}
	s.poolPacer.account(now, s.running)
	s.poolPacer.limit = math.Max(0, float64(s.capacity)-reserved)
	return s.poolPacer.allows(now, s.running)
}

// place finds a free host for the first request in the queue that can use one. It looks beyond a request only if that
// request excludes hosts, since another request may be able to use them, and at no more than lookAhead requests.
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

// freeHost returns the free host with the fewest requests in flight; among equals, the one whose last grant is oldest.
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
