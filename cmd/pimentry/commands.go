package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

const (
	exitOK = iota
	// exitFault means that a command failed or that a checked file has faults.
	exitFault
	// exitUsage means that the arguments are wrong.
	exitUsage
)

// output is where commands write.
type output struct {
	stdout, stderr io.Writer
}

// execute parses the arguments, runs the subcommand and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("pimentry", flags.HelpFlag|flags.PassDoubleDash)
	out := output{stdout: stdout, stderr: stderr}
	if err := addCommands(parser, out); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFault
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, usage.Message)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFault
	}
}

func addCommands(parser *flags.Parser, out output) error {
	_, errRun := parser.AddCommand("run", "Run one VM",
		"Runs one VM. SIGTERM stops it gracefully, a second signal ends it at once, SIGHUP reads the settings again.",
		&runCommand{out: out})
	_, errCheck := parser.AddCommand("check", "Check a settings file", "Prints every fault of a settings file.",
		&checkCommand{out: out})
	return errors.Join(errRun, errCheck)
}
