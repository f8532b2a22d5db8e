package pimpick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// group holds the hosts of one service with the figures that all estimates share.
type group struct {
	hosts []*host
	// usable is rebuilt by each pick.
	usable []*host
	// median is the median reported count; unlike the mean, it is not moved by a few wrong reports.
	median float64
	// reportedPerPlaced is the median number of reported connections for one own placed flow.
	reportedPerPlaced float64
	refreshed         bool
	refreshedAt       pimclock.Instant
}

// refreshInterval is the age at which the shared figures are computed again.
const refreshInterval = 200 * time.Millisecond

func (g *group) refresh(now pimclock.Instant, cfg *Config) {
	if g.refreshed && now.Sub(g.refreshedAt) < refreshInterval {
		return
	}
	g.refreshed, g.refreshedAt = true, now
	var counts, ratios []float64
	for _, h := range g.hosts {
		if !h.hasReport {
			continue
		}
		counts = append(counts, h.reported)
		if h.placed > 0 {
			ratios = append(ratios, h.reported/h.placed)
		}
	}
	g.median, g.reportedPerPlaced = median(counts), median(ratios)
	if len(ratios) == 0 {
		g.reportedPerPlaced = float64(cfg.Peers)
	}
}

// median returns the upper median, or zero without values; it sorts them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// applySlowStart leaves each cold host among the usable ones with the probability of its warmth; it keeps all if none is left.
func (g *group) applySlowStart(now pimclock.Instant, cfg *Config, rnd *rand.Rand) {
	kept := 0
	for i, h := range g.usable {
		fraction := h.slowStartFraction(now, cfg)
		if fraction >= 1 || rnd.Float64() < fraction {
			g.usable[kept], g.usable[i] = h, g.usable[kept]
			kept++
		}
	}
	if kept > 0 {
		g.usable = g.usable[:kept]
	}
}
