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
	// perPlaced is the median number of reported connections for one own placed flow.
	perPlaced float64
	fresh     bool
	freshAt   pimclock.Instant
}

// refreshEvery is the age at which the shared figures are computed again.
const refreshEvery = 200 * time.Millisecond

func (g *group) refresh(now pimclock.Instant, cfg *Config) {
	if g.fresh && now.Sub(g.freshAt) < refreshEvery {
		return
	}
	g.fresh, g.freshAt = true, now
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
	g.median, g.perPlaced = median(counts), median(ratios)
	if len(ratios) == 0 {
		g.perPlaced = float64(cfg.Peers)
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

// keepWarm leaves each cold host among the usable ones with the probability of its warmth; it keeps all if none is left.
func (g *group) keepWarm(now pimclock.Instant, cfg *Config, rnd *rand.Rand) {
	kept := 0
	for i, h := range g.usable {
		w := h.warmth(now, cfg)
		if w >= 1 || rnd.Float64() < w {
			g.usable[kept], g.usable[i] = h, g.usable[kept]
			kept++
		}
	}
	if kept > 0 {
		g.usable = g.usable[:kept]
	}
}
