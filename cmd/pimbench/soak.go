package main

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/soak/pimsoak"
)

// errViolations means that a promise was broken.
var errViolations = errors.New("promises were broken")

// soakCommand runs real processes under faults.
type soakCommand struct {
	common
	First   uint64        `long:"first" default:"1" description:"first seed"`
	Length  time.Duration `long:"length" default:"20s" description:"time with faults of each run"`
	VMs     int           `long:"vms" default:"4" description:"number of VMs"`
	Hosts   int           `long:"hosts" default:"3" description:"backend servers of each of two services"`
	Callers int           `long:"callers" default:"8" description:"number of callers"`
	Spray   bool          `long:"spray" description:"hand any packet of a flow to any VM"`
	Faults  string        `long:"faults" description:"kinds of faults, separated by commas; default all"`
	Binary  string        `long:"binary" description:"pimentry program; default: built from this tree"`
	log     zerolog.Logger
}

func newSoakCommand(log zerolog.Logger) *soakCommand { return &soakCommand{log: log} }

func (c *soakCommand) name() string { return "soak" }

func (c *soakCommand) summary() string {
	return "Run real processes under faults: " + strings.Join(pimsoak.FaultNames(), " ")
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := c.build(ctx); err != nil {
		return err
	}
	var reports []pimsoak.Report
	var text strings.Builder
	broken := false
	for seed := c.First; seed < c.First+c.Seeds && ctx.Err() == nil; seed++ {
		report, err := c.run(ctx, seed)
		if err != nil {
			return err
		}
		report.Write(os.Stderr)
		report.Write(&text)
		broken = broken || len(report.Violations) > 0
		reports = append(reports, report)
	}
	if err := c.writeReport("soak", reports, text.String()); err != nil {
		return err
	}
	if broken {
		return errViolations
	}
	return nil
}

// build builds the program under test unless one was named.
func (c *soakCommand) build(ctx context.Context) error {
	if c.Binary != "" {
		return nil
	}
	if err := os.MkdirAll(c.Directory, 0o755); err != nil {
		return err
	}
	c.Binary = c.path("pimentry")
	build := exec.CommandContext(ctx, "go", "build", "-o", c.Binary, "./cmd/pimentry")
	build.Stderr = os.Stderr
	return build.Run()
}

func (c *soakCommand) run(ctx context.Context, seed uint64) (pimsoak.Report, error) {
	const networks = 50
	directory, err := os.MkdirTemp(c.Directory, "soak-")
	if err != nil {
		return pimsoak.Report{}, err
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return pimsoak.Report{}, err
	}
	cfg := pimsoak.Config{
		Seed: seed, Length: c.Length, VMs: c.VMs, HostsPerService: c.Hosts, Callers: c.Callers, Binary: binary,
		Directory: directory, Network: byte(150 + seed%networks), Spray: c.Spray, Log: c.log,
	}
	if c.Faults != "" {
		cfg.Faults = strings.Split(c.Faults, ",")
	}
	report, err := pimsoak.Run(ctx, cfg)
	if err == nil && len(report.Violations) == 0 {
		return report, os.RemoveAll(directory)
	}
	return report, err // the logs of a run with violations stay
}
