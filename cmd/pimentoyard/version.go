package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	JSON bool `long:"json" description:"print JSON"`

	out pimcli.Output
}

func newVersion(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "version", Short: "Print the version",
		Long: "Prints the version of the program and of the Go release that built it.",
		Data: &versionCommand{out: out},
	}
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	if c.JSON {
		return writeJSON(c.out.Stdout, map[string]string{"version": version, "go": runtime.Version()})
	}
	_, err := fmt.Fprintf(c.out.Stdout, "pimentoyard %s %s\n", version, runtime.Version())
	return err
}
