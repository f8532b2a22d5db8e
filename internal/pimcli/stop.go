package pimcli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// StopSignal returns a context that ends with SIGTERM or SIGINT.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Stop lets a VM stop gracefully after a signal; a second signal ends the context of shutdown and so cuts it short.
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
