package main

import (
	"io"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

// commands lists all subcommands; each one is in its own file.
func commands(out pimcli.Output) []pimcli.Command {
	return []pimcli.Command{
		newCheck(out),
		newRun(out),
		newPlan(out),
		newStatus(out),
		newVersion(out),
	}
}

// execute parses the arguments, runs the subcommand and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	out := pimcli.Output{Stdout: stdout, Stderr: stderr}
	return pimcli.Run("pimentoyard", commands(out), args, out)
}
