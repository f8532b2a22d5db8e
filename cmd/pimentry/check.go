package main

import (
	"fmt"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
)

// checkCommand validates a settings file without starting a VM.
type checkCommand struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"settings file in TOML"`

	out pimcli.Output
}

func newCheck(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "check", Short: "Check a settings file", Long: "Prints every fault of a settings file.",
		Data: &checkCommand{out: out},
	}
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	if _, err := pimsettings.ReadEntry(c.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.out.Stdout, "ok")
	return err
}
