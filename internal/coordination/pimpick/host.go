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
	// Leaving excludes the host because the platform has announced its end.
	Leaving bool
	// Cold starts the host with a small part of the new flows.
	Cold bool
}

// host is the observed state of one backend server.
type host struct {
	Host
	// draining and failed come from gossip of the host's owner.
	draining, failed bool
	coldSince        pimclock.Instant
	cold             bool
	// placed is the decayed count of flows that this VM placed; sinceReport counts those after the last report.
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

// newHost applies another generation, whose connections and faults are its own.
func newHost(now pimclock.Instant, d Host, cold bool) *host {
	return &host{Host: d, cold: cold, coldSince: now, placedAt: now}
}

func (h *host) ejected(now pimclock.Instant) bool { return now.Before(h.ejectedUntil) }

func (h *host) usable(now pimclock.Instant) bool {
	return !h.Leaving && !h.draining && !h.failed && !h.ejected(now)
}

// decay halves the count of placed flows every half-life.
func (h *host) decay(now pimclock.Instant, halfLife time.Duration) {
	age := now.Sub(h.placedAt)
	if age <= 0 {
		return
	}
	h.placed *= math.Exp2(-float64(age) / float64(halfLife))
	h.placedAt = now
}

// estimate returns the expected number of connections. The count expected from own placed flows is a lower bound, so
// that a report that is too low attracts no flows. A report loses weight with its age in favour of that count and the
// median of the service, so that a host without a report is not taken for an empty one.
func (h *host) estimate(now pimclock.Instant, g *group, cfg *Config) float64 {
	h.decay(now, cfg.PlacedHalfLife)
	placed := g.reportedPerPlaced * h.placed
	return h.blend(now, placed, math.Max(g.median, placed), cfg)
}

// full reports whether the host has reached its connection limit; unlike estimate, it uses nothing but observations of
// this host, since a busy host must not close the others.
func (h *host) full(now pimclock.Instant, g *group, cfg *Config) bool {
	h.decay(now, cfg.PlacedHalfLife)
	placed := g.reportedPerPlaced * h.placed
	return h.blend(now, placed, placed, cfg) >= float64(h.MaxConnections)
}

// blend weighs the last report against the count that is assumed without one. Flows placed since the report count once
// for every VM, since the others place at the same rate.
func (h *host) blend(now pimclock.Instant, lowerBound, unreported float64, cfg *Config) float64 {
	if !h.hasReport {
		return unreported
	}
	weight := math.Exp2(-float64(now.Sub(h.reportedAt)) / float64(cfg.ReportHalfLife))
	reported := h.reported + h.sinceReport*float64(cfg.Peers)
	return math.Max(weight*reported+(1-weight)*unreported, lowerBound)
}

// slowStartFraction returns the part of the normal rate of new flows that a host may receive during its slow start.
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
