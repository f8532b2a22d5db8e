package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimflood"
)

// floodCommand simulates contracts that flood a service, called the order desk, with requests. It compares two policies:
// slots are shared between the contracts, or each slot owner has one FIFO queue for all of them.
type floodCommand struct {
	common
	Load   float64       `long:"load" default:"0.9" description:"load of contracts that do not flood, as a part of their guarantee"`
	Factor float64       `long:"factor" default:"10" description:"load of a flooding contract, as a multiple of the capacity"`
	Flood  time.Duration `long:"flood" default:"10s" description:"simulated length of each flood"`
	Calm   time.Duration `long:"calm" default:"6s" description:"simulated length of each calm phase"`
	log    zerolog.Logger
}

func newFloodCommand(log zerolog.Logger) *floodCommand { return &floodCommand{log: log} }

func (c *floodCommand) name() string { return "flood" }

func (c *floodCommand) summary() string { return "Simulate floods of low and high priority" }

// Execute implements flags.Commander.
func (c *floodCommand) Execute([]string) error {
	var reports []pimflood.Report
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		for _, policy := range []pimflood.Policy{pimflood.Shares, pimflood.FIFO} {
			reports = append(reports, c.run(seed, policy))
		}
	}
	var text strings.Builder
	writeFloodTable(&text, reports)
	if err := c.writeReport("flood", reports, text.String()); err != nil {
		return err
	}
	return plotFlood(c.path("flood.png"), reports)
}

func (c *floodCommand) run(seed uint64, policy pimflood.Policy) pimflood.Report {
	cfg := pimflood.DefaultConfig(seed, policy, c.Flood, c.Calm)
	cfg.Load, cfg.FloodFactor = c.Load, c.Factor
	start := time.Now()
	r := pimflood.Run(cfg)
	c.log.Info().Uint64("seed", seed).Str("policy", string(policy)).Dur("took", time.Since(start)).Msg("flood simulated")
	return r
}

// writeFloodTable writes one line for each run.
func writeFloodTable(w io.Writer, reports []pimflood.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tseed\tload\tkept\tsteady\trecovery_s\tstorm_s\tbusy_both\tidle_waiting\tsheds")
	for _, r := range reports {
		kept, steady := r.WorstKept()
		recovery, storm := r.WorstRecovery()
		idle, busy := 0.0, 0.0
		for _, p := range r.Phases {
			idle = max(idle, p.IdleWhileWaiting)
			if p.Name == "both" {
				busy = p.Busy
			}
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%.3f\t%.3f\t%.1f\t%.0f\t%.3f\t%.4f\t%d\n",
			r.Policy, r.Seed, r.Load, kept, steady, recovery, storm, busy, idle, r.Sheds)
	}
	_ = t.Flush()
}
