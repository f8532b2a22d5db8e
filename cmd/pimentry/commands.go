package main

import (
	"io"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

// execute parses the arguments, runs the subcommand and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	out := pimcli.Output{Stdout: stdout, Stderr: stderr}
	return pimcli.Run("pimentry", []pimcli.Command{newRun(out), newCheck(out), newExplain(out)}, args, out)
}
