package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	JSON bool `long:"json" description:"print JSON"`

	out output
}

func newVersion(out output) command {
	return command{
		name: "version", short: "Print the version",
		long: "Prints the version of the program and of the Go release that built it.",
		data: &versionCommand{out: out},
	}
}

// Execute runs the command.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	if c.JSON {
		return writeJSON(c.out.stdout, map[string]string{"version": version, "go": runtime.Version()})
	}
	_, err := fmt.Fprintf(c.out.stdout, "pimentoyard %s %s\n", version, runtime.Version())
	return err
}
