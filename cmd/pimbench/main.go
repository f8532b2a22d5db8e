// Command pimbench simulates policies of the load balancer, runs real processes under faults, and writes reports and
// plots.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []command{
		newFloodCommand(log), newSoakCommand(log), newBalanceCommand(log), newViewsCommand(log), newAdmissionCommand(log),
	} {
		if _, err := parser.AddCommand(c.name(), c.summary(), "", c); err != nil {
			log.Fatal().Err(err).Msg("cannot add subcommand")
		}
	}
	if _, err := parser.Parse(); err != nil {
		exit(log, err)
	}
}

func exit(log zerolog.Logger, err error) {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = os.Stdout.WriteString(usage.Message + "\n")
		return
	}
	log.Fatal().Err(err).Msg("run")
}
