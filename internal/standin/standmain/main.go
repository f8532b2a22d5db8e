package standmain

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

const (
	exitError = 1
	exitUsage = 2
)

// Main parses the options, runs the program until it returns or SIGTERM or SIGINT ends its context, and exits with 1
// after an error and with 2 after wrong arguments.
func Main[O any](name string, run func(ctx context.Context, opts *O, log zerolog.Logger) error) {
	var opts O
	if _, err := flags.Parse(&opts); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitUsage)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", name).Logger()
	if err := runUntilSignal(&opts, log, run); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		os.Exit(exitError)
	}
}

func runUntilSignal[O any](
	opts *O, log zerolog.Logger, run func(ctx context.Context, opts *O, log zerolog.Logger) error,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, opts, log)
}
