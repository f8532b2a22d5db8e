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

// errReported means that a command has printed its faults itself.
var errReported = errors.New("faults were found")

// output is where commands write.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// command is one subcommand: its name, texts and options with an Execute method.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// commands lists all subcommands; each one is in its own file.
func commands(out output) []command {
	return []command{
		newCheck(out),
		newRun(out),
		newPlan(out),
		newStatus(out),
		newVersion(out),
	}
}

// execute parses the arguments, runs the subcommand and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("pimentoyard", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands(output{stdout: stdout, stderr: stderr}) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return exitFault
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

func report(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errReported):
		return exitFault
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
