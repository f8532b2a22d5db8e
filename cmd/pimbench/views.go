package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimviews"
)

// errBrokenRule means that a schedule broke a rule.
var errBrokenRule = errors.New("a schedule broke a rule")

// viewsCommand looks for orders of events in which VMs with different views break a rule.
type viewsCommand struct {
	common
	First       uint64        `long:"first" default:"1" description:"first seed"`
	Length      time.Duration `long:"length" default:"30s" description:"simulated length of each schedule"`
	VMs         int           `long:"vms" default:"3" description:"number of VMs"`
	DataCentres int           `long:"data-centres" default:"1" description:"number of data centres"`
	Planned     bool          `long:"planned" description:"planned work only"`
	SlowLinks   bool          `long:"slow-links" description:"configurations arrive slowly"`
	NamedLater  bool          `long:"named-later" description:"entries come before the configurations that name their services, some from another writer"`
	Depth       int           `long:"depth" description:"play all orders of so many events in place of random ones"`
	log         zerolog.Logger
}

func newViewsCommand(log zerolog.Logger) *viewsCommand { return &viewsCommand{log: log} }

func (c *viewsCommand) name() string { return "views" }

func (c *viewsCommand) summary() string {
	return "Look for orders of events in which VMs with different views break a rule"
}

// viewsReport is the report of all schedules; Broken is the shortest one found from the first that broke a rule.
type viewsReport struct {
	Schedules, Opened, Packets, Dropped int
	Broken                              *pimviews.Config `json:",omitempty"`
	Trace                               []string         `json:",omitempty"`
}

// Execute implements flags.Commander.
func (c *viewsCommand) Execute([]string) error {
	start := time.Now()
	var report viewsReport
	for seed := c.First; seed < c.First+c.Seeds && report.Broken == nil; seed++ {
		c.play(&report, pimviews.Config{
			Seed: seed, VMs: c.VMs, DataCentres: c.DataCentres, Length: c.Length, Planned: c.Planned, SlowLinks: c.SlowLinks,
			NamedLater: c.NamedLater,
		})
		c.log.Info().Uint64("seed", seed).Int("schedules", report.Schedules).Dur("took", time.Since(start)).Msg("played")
	}
	if err := c.writeReport("views", report, report.text()); err != nil {
		return err
	}
	if report.Broken != nil {
		return errBrokenRule
	}
	return nil
}

// play plays the random schedule of a seed, or all orders of Depth events.
func (c *viewsCommand) play(report *viewsReport, cfg pimviews.Config) {
	if c.Depth == 0 {
		report.add(cfg)
		return
	}
	for order := range pimviews.Orders(c.Depth, c.Planned) {
		cfg.Order = order
		if report.add(cfg); report.Broken != nil {
			return
		}
	}
}

// add plays a schedule and shrinks it if it breaks a rule.
func (r *viewsReport) add(cfg pimviews.Config) {
	one := pimviews.Run(cfg)
	r.Schedules, r.Opened = r.Schedules+1, r.Opened+one.Opened
	r.Packets, r.Dropped = r.Packets+one.Packets, r.Dropped+one.Dropped
	if len(one.Violations) > 0 {
		shortest := pimviews.Shrink(cfg)
		r.Broken, r.Trace = &shortest, pimviews.Run(shortest).Trace
	}
}

func (r *viewsReport) text() string {
	text := fmt.Sprintf("%d schedules, %d flows opened, %d packets, %d without an answer\n", r.Schedules, r.Opened, r.Packets, r.Dropped)
	if r.Broken != nil {
		text += fmt.Sprintf("broken: %+v\n%s\n", *r.Broken, strings.Join(r.Trace, "\n"))
	}
	return text
}
