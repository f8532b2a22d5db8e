package pimpick

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Host describes one backend server of this data centre.
type Host struct {
	ID             pimid.BackendID
	Generation     pimid.Generation
	Service        pimid.ServiceID
	MaxConnections pimid.Connections
	// Leaving excludes the host from new flows because the platform has announced its removal.
	Leaving bool
	// Cold makes the host begin with a small share of the new flows (slow start).
	Cold bool
}

// host is the observed state of one backend server.
type host struct {
	Host
	// draining and failed are announced by gossip from the VM that owns the host.
	draining, failed bool
	coldSince        pimclock.Instant
	cold             bool
	// placed is the exponentially decayed count of flows that this VM placed; sinceReport counts those placed after the
	// last report, without decay.
	placed       float64
	placedAt     pimclock.Instant
	sinceReport  float64
	reported     float64
	reportedAt   pimclock.Instant
	hasReport    bool
	failures     int
	ejections    int
	ejectedUntil pimclock.Instant
}

// newHost returns the state of a host without observations; a new generation inherits no connection counts or failures.
func newHost(now pimclock.Instant, d Host, cold bool) *host {
	return &host{Host: d, cold: cold, coldSince: now, placedAt: now}
}

func (h *host) ejected(now pimclock.Instant) bool { return now.Before(h.ejectedUntil) }

func (h *host) usable(now pimclock.Instant) bool {
	return !h.Leaving && !h.draining && !h.failed && !h.ejected(now)
}

// decay applies exponential decay to the count of placed flows up to now.
func (h *host) decay(now pimclock.Instant, halfLife time.Duration) {
	age := now.Sub(h.placedAt)
	if age <= 0 {
		return
	}
	h.placed *= math.Exp2(-float64(age) / float64(halfLife))
	h.placedAt = now
}

// estimate returns the estimated number of connections. The count extrapolated from the flows placed by this VM is a
// lower bound, so that a report that is too low does not attract flows. As a report ages, its weight shifts to the
// larger of that count and the median of the service, so that a host without a report does not count as empty.
func (h *host) estimate(now pimclock.Instant, g *group, cfg *Config) float64 {
	h.decay(now, cfg.PlacedHalfLife)
	placed := g.reportedPerPlaced * h.placed
	return h.blend(now, placed, math.Max(g.median, placed), cfg)
}

// full reports whether the host has reached its connection limit. Unlike estimate, it ignores the median of the
// service, since busy hosts must not make the others count as full.
func (h *host) full(now pimclock.Instant, g *group, cfg *Config) bool {
	h.decay(now, cfg.PlacedHalfLife)
	placed := g.reportedPerPlaced * h.placed
	return h.blend(now, placed, placed, cfg) >= float64(h.MaxConnections)
}

// blend returns the average of the last report and unreported, the count assumed without a report, weighted by the age
// of the report, but at least lowerBound. Flows placed since the report are multiplied by the number of VMs, on the
// assumption that the others place flows at the same rate.
func (h *host) blend(now pimclock.Instant, lowerBound, unreported float64, cfg *Config) float64 {
	if !h.hasReport {
		return unreported
	}
	weight := math.Exp2(-float64(now.Sub(h.reportedAt)) / float64(cfg.ReportHalfLife))
	reported := h.reported + h.sinceReport*float64(cfg.Peers)
	return math.Max(weight*reported+(1-weight)*unreported, lowerBound)
}

// slowStartFraction returns the fraction of the normal rate of new flows that the host may receive: from 0.05 rising to
// 1 during its slow start, and 1 afterwards.
func (h *host) slowStartFraction(now pimclock.Instant, cfg *Config) float64 {
	const minFraction = 0.05
	if !h.cold {
		return 1
	}
	fraction := float64(now.Sub(h.coldSince)) / float64(cfg.SlowStart)
	if fraction >= 1 {
		h.cold = false
		return 1
	}
	return math.Max(fraction, minFraction)
}
