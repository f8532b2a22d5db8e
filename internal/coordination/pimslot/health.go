package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// health is what this owner has observed about one host since its last answered request.
type health struct {
	// failures counts the failures since the last ejection; a stalled connection counts twice.
	failures int
	// sheds counts the 503 answers.
	sheds        int
	ejections    int
	ejectedUntil pimclock.Instant
	// probing limits a host to one slot after its ejection until a request succeeds.
	probing bool
}

func (h *health) ejected(now pimclock.Instant) bool { return now.Before(h.ejectedUntil) }

// succeed clears the counters and ends an ejection or probing.
func (h *health) succeed() { *h = health{} }

// fail counts one failure and reports whether the host should be ejected.
func (h *health) fail(noProgress bool, cfg *Config) (eject bool) {
	h.failures++
	if noProgress {
		// A stalled connection costs a whole progress timeout, so it counts double.
		h.failures++
	}
	return h.probing || h.failures >= cfg.FailuresToEject
}

// eject excludes the host from new work; each further ejection in a row lasts twice as long.
func (h *health) eject(now pimclock.Instant, cfg *Config) {
	h.ejectedUntil = now.Add(backOff(cfg.EjectBase, cfg.EjectMax, h.ejections))
	h.ejections++
	h.failures = 0
	h.probing = true
}

// shed counts one 503 and returns for how long it takes one slot out of use.
func (h *health) shed(retryAfter time.Duration, cfg *Config) time.Duration {
	hold := max(retryAfter, backOff(cfg.ShedHold, cfg.EjectMax, h.sheds))
	h.sheds++
	return min(hold, cfg.EjectMax)
}

// backOff doubles base n times, up to limit.
func backOff(base, limit time.Duration, n int) time.Duration {
	const maxDoublings = 16
	return min(base<<min(n, maxDoublings), limit)
}

// observeResult updates the host's health with the result of one request.
func (s *service) observeResult(now pimclock.Instant, h *host, r Result) {
	switch {
	case r.Shed:
		h.occupy(now, h.health.shed(r.ShedFor, s.cfg))
	case r.Outcome == pimedge.OutcomeAnswered:
		h.health.succeed()
	case r.Outcome == pimedge.OutcomeFailed, r.Outcome == pimedge.OutcomeUnknown, r.NoProgress:
		if h.health.fail(r.NoProgress, s.cfg) && s.mayEject(now) {
			h.health.eject(now, s.cfg)
		}
	}
}

// mayEject reports whether at least half of the service's hosts stay in use after one more ejection. If a fault affects
// all hosts, some requests may still succeed, while ejecting all hosts would refuse every request.
func (s *service) mayEject(now pimclock.Instant) bool {
	total, failed := 0, s.policy.DataCentreFailed
	for _, h := range s.hosts {
		if h.removed {
			continue
		}
		total++
		if h.health.ejected(now) {
			failed++
		}
	}
	total = max(total, s.policy.DataCentreHosts)
	return 2*(failed+1) <= total
}
