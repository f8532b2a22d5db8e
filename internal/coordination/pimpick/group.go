package pimpick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// group holds the hosts of one service and the statistics used by the estimates for each of them.
type group struct {
	hosts []*host
	// usable is a buffer that each Pick fills anew.
	usable []*host
	// median is the median of the reported connection counts; unlike the mean, a few wrong reports do not shift it.
	median float64
	// reportedPerPlaced is the median ratio of reported connections to flows placed by this VM. It extrapolates the
	// count of this VM to all VMs that place flows on the same hosts.
	reportedPerPlaced float64
	refreshed         bool
	refreshedAt       pimclock.Instant
}

// refreshInterval is the age at which the statistics are computed again.
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

// median returns the upper median of the values, or zero if there are none; it sorts them in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// applySlowStart keeps each cold host in usable with the probability slowStartFraction; it keeps all hosts if none
// would be left.
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
