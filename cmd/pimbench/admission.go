package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimadmission"
)

// admissionCommand compares bursts with and without admission by priority.
type admissionCommand struct {
	common
	Burst time.Duration `long:"burst" default:"10s" description:"simulated length of each burst"`
	log   zerolog.Logger
}

func newAdmissionCommand(log zerolog.Logger) *admissionCommand { return &admissionCommand{log: log} }

func (c *admissionCommand) name() string { return "admission" }

func (c *admissionCommand) summary() string {
	return "Compare bursts of two priorities with and without admission"
}

// Execute implements flags.Commander.
func (c *admissionCommand) Execute([]string) error {
	var reports []pimadmission.Report
	for _, mix := range pimadmission.Mixes {
		for _, load := range pimadmission.Loads {
			for _, admission := range []bool{false, true} {
				reports = append(reports, c.run(mix, load, admission))
			}
		}
	}
	var text strings.Builder
	writeAdmissionTable(&text, reports)
	if err := c.writeReport("admission", reports, text.String()); err != nil {
		return err
	}
	for _, mix := range pimadmission.Mixes {
		if err := plotAdmission(c.path(fmt.Sprintf("admission-%s.svg", mix)), mix, reports); err != nil {
			return err
		}
	}
	return nil
}

// run returns the sum of the runs with all seeds.
func (c *admissionCommand) run(mix pimadmission.Mix, load float64, admission bool) pimadmission.Report {
	start := time.Now()
	var runs []pimadmission.Report
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		cfg := pimadmission.DefaultConfig(seed, mix, load, admission)
		cfg.Burst = c.Burst
		runs = append(runs, pimadmission.Run(cfg))
	}
	c.log.Info().Str("mix", string(mix)).Float64("load", load).Bool("admission", admission).
		Dur("took", time.Since(start)).Msg("admission simulated")
	return pimadmission.Sum(runs)
}

// writeAdmissionTable writes one line for each burst and route.
func writeAdmissionTable(w io.Writer, reports []pimadmission.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "mix\tload\tadmission\tgoodput\t503\tover_cap\trecovery_ms\tpriority\trequests\tin_time\tfirst_second\tlate\tlost\t"+
		"refused\tdelayed\ttries")
	for _, r := range reports {
		for _, route := range r.Routes {
			_, _ = fmt.Fprintf(t, "%s\t%.1f\t%t\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.2f\n",
				r.Mix, r.Load, r.Admission, r.Goodput, r.QueueFull, r.OverCap, r.RecoveryMs, route.Priority, route.Requests, route.Served(),
				route.OnsetServed(), route.Late, route.Lost, route.Refused, route.Delayed, route.TriesEach())
		}
	}
	_ = t.Flush()
}

// plotAdmission plots the part of the requests answered in time, by load and priority, with and without admission.
func plotAdmission(file string, mix pimadmission.Mix, reports []pimadmission.Report) error {
	groups := []series{
		{name: "urgent, without"}, {name: "urgent, with admission"}, {name: "less urgent, without"}, {name: "less urgent, with admission"},
	}
	var categories []string
	for _, r := range reports {
		if r.Mix != mix {
			continue
		}
		variant := 1
		if !r.Admission {
			variant = 0
			categories = append(categories, fmt.Sprintf("%.1f", r.Load))
		}
		for i, route := range r.Routes {
			g := &groups[2*i+variant]
			g.values = append(g.values, route.Served())
		}
	}
	title := fmt.Sprintf("Requests answered in time by load in parts of the capacity (%s)", strings.ReplaceAll(string(mix), "_", " "))
	return plotBars(file, title, "part of the requests", categories, groups, pimadmission.MinServed)
}
