package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimbalance"
)

// balanceCommand compares policies that choose the backend server of a new flow.
type balanceCommand struct {
	common
	Delay  time.Duration `long:"report-delay" default:"4s" description:"largest delay of a load report"`
	Length time.Duration `long:"length" default:"2m" description:"simulated length of each run"`
	log    zerolog.Logger
}

func newBalanceCommand(log zerolog.Logger) *balanceCommand { return &balanceCommand{log: log} }

func (c *balanceCommand) name() string { return "balance" }

func (c *balanceCommand) summary() string {
	return "Compare policies that choose a host, with late and wrong load reports"
}

// Execute implements flags.Commander.
func (c *balanceCommand) Execute([]string) error {
	var reports []pimbalance.Report
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		for _, faults := range []bool{false, true} {
			for _, choice := range pimbalance.Choices {
				reports = append(reports, c.run(seed, choice, faults))
			}
		}
	}
	var text strings.Builder
	writeBalanceTable(&text, reports)
	if err := c.writeReport("balance", reports, text.String()); err != nil {
		return err
	}
	return plotBalance(c.path("balance.png"), reports)
}

func (c *balanceCommand) run(seed uint64, choice pimbalance.Choice, faults bool) pimbalance.Report {
	cfg := pimbalance.DefaultConfig(seed, choice, faults)
	cfg.ReportDelay, cfg.Length = c.Delay, c.Length
	start := time.Now()
	r := pimbalance.Run(cfg)
	c.log.Info().Uint64("seed", seed).Str("choice", string(choice)).Bool("faults", faults).
		Dur("took", time.Since(start)).Msg("balance simulated")
	return r
}

// writeBalanceTable writes one line for each run.
func writeBalanceTable(w io.Writer, reports []pimbalance.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "choice\tfaults\tseed\tmax/mean\tworst\twait_p99_ms\tfailed\trefused")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%s\t%t\t%d\t%.3f\t%.3f\t%.1f\t%d\t%d\n",
			r.Choice, r.Faults, r.Seed, r.MaxToMean, r.WorstMaxToMean, r.WaitP99Millis, r.Failed, r.Refused)
	}
	_ = t.Flush()
}
