package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// usable returns the most permits that the grant can hold; without a rate these are the permits that are left.
func (g *grant) usable() float64 {
	if g.rate == 0 {
		return g.tokens
	}
	return g.depth
}

// recordSums adds up all shares, grants and what is left in the pools, and keeps the largest sums.
func (s *sim) recordSums(now pimclock.Instant) {
	var rate, depth float64
	for _, vm := range s.vms {
		if !vm.up || vm.paused {
			continue
		}
		if a := vm.pool.member.accounts[simContract]; a != nil {
			if own := vm.pool.member.share(now, a); !a.lent(now) {
				rate, depth = rate+own.rate, depth+own.depth
			}
			if now.Before(a.grant.expires) {
				rate, depth = rate+a.grant.rate, depth+a.grant.usable()
			}
		}
		if p := vm.pool.owner.pools[simContract]; p != nil {
			capRate, capDepth := p.capacity(now)
			usedRate, usedDepth := p.granted(now, nil)
			rate, depth = rate+max(capRate-usedRate, 0), depth+max(capDepth-usedDepth, 0)
		}
	}
	s.mostRate, s.mostDepth = max(s.mostRate, rate), max(s.mostDepth, depth)
}

// worstSecond returns the largest number of admissions in any window of one second.
func worstSecond(admitted []pimclock.Instant) (most int) {
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
