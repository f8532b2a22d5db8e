package pimcli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// StopSignal returns a context that ends when the process receives SIGTERM or SIGINT.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Stop runs the graceful shutdown of a VM after a first signal. A second signal ends the context of shutdown and so
// cuts it short. The error is that of shutdown.
func Stop(log zerolog.Logger, shutdown func(context.Context) error) error {
	ctx, cancel := StopSignal()
	defer cancel()
	log.Info().Msg("stopping")
	if err := shutdown(ctx); err != nil {
		return err
	}
	log.Info().Msg("stopped")
	return nil
}
