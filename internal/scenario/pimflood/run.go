package pimflood

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Run simulates all phases and returns the report.
func Run(cfg Config) Report {
	f := newFleet(cfg)
	for _, id := range []pimid.ContractID{Plants, Workshops, Clerks} {
		f.arrivals(id)
	}
	f.Run(f.stats.end())
	return f.stats.report()
}

// arrivals creates the requests of one contract at its offered rate, whether or not earlier ones were answered (open
// loop).
func (f *fleet) arrivals(id pimid.ContractID) {
	phase := f.stats.phaseAt(f.Now())
	rate := f.cfg.Load * Guaranteed(id)
	if slices.Contains(f.cfg.Phases[phase].Flood, id) {
		rate = f.cfg.FloodFactor * capacity
	}
	f.After(f.Exp(time.Duration(float64(time.Second)/rate)), func() {
		f.create(id, f.Now())
		f.arrivals(id)
	})
}

func (f *fleet) create(id pimid.ContractID, now pimclock.Instant) {
	r := &request{
		contract: id, phase: f.stats.phaseAt(now), created: now,
		duration: min(max(f.Exp(meanDuration), minDuration), maxDuration),
	}
	f.stats.offered(r)
	f.arrive(r)
}
