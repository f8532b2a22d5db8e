package pimcli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	ExitOK = iota
	// ExitFault means that a command failed or that a checked file has faults.
	ExitFault
	// ExitUsage means that the arguments are wrong.
	ExitUsage
)

// ErrReported means that a command failed and has printed the reasons itself; Run prints nothing more.
var ErrReported = errors.New("faults were found")

// Output is where commands write.
type Output struct {
	Stdout, Stderr io.Writer
}

// Command is one subcommand. Short and Long are its help texts; Data holds its options and executes it.
type Command struct {
	Name, Short, Long string
	Data              flags.Commander
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(program string, commands []Command, args []string, out Output) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Data); err != nil {
			_, _ = fmt.Fprintln(out.Stderr, err)
			return ExitFault
		}
	}
	_, err := parser.ParseArgs(args)
	return report(err, out)
}

func report(err error, out Output) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrReported):
		return ExitFault
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out.Stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(out.Stderr, usage.Message)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(out.Stderr, err)
		return ExitFault
	}
}
