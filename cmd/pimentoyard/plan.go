package main

import (
	"fmt"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimplan"
)

// planCommand prints the effects of a change of contract and fleet files before it is published.
type planCommand struct {
	From string `long:"from" required:"yes" value-name:"DIR" description:"directory of the files in force"`
	To   string `long:"to" required:"yes" value-name:"DIR" description:"directory of the changed files"`
	At   string `long:"at" value-name:"TIME" description:"compare the terms at this time (RFC 3339), now by default"`
	All  bool   `long:"all" description:"also print rows that do not change"`
	JSON bool   `long:"json" description:"print JSON"`

	out pimcli.Output
}

func newPlan(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "plan", Short: "Show the effect of a change before it is published",
		Long: "Compares the contract and fleet files of two directories: limits, slots, owners, flows and warnings.",
		Data: &planCommand{out: out},
	}
}

// Execute runs the command.
func (c *planCommand) Execute([]string) error {
	at := time.Now()
	if c.At != "" {
		t, err := time.Parse(time.RFC3339, c.At)
		if err != nil {
			return fmt.Errorf("--at: %w", err)
		}
		at = t
	}
	before, err := pimplan.ReadDir(c.From)
	if err != nil {
		return err
	}
	after, err := pimplan.ReadDir(c.To)
	if err != nil {
		return err
	}
	report := pimplan.Compare(&before, &after, at, pimplan.Rendezvous)
	if c.JSON {
		return writeJSON(c.out.Stdout, report)
	}
	return report.WriteText(c.out.Stdout, c.All)
}
