// Command standin-fabric runs a stand-in network fabric until SIGTERM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standfabric"
)

type options struct {
	Routes      []string      `long:"service" description:"id=ip:port or id=ip:port/edge-port of a service" required:"true"`
	VMs         []string      `long:"vm" description:"ip of a vm, or id=ip:port of its socket for one service"`
	ListURL     string        `long:"list-url" description:"url of the platform's vm list"`
	Poll        time.Duration `long:"poll" description:"time between polls of the list" default:"500ms"`
	Loss        float64       `long:"loss" description:"probability of loss" default:"0"`
	Duplication float64       `long:"duplication" description:"probability of duplication" default:"0"`
	MaxDelay    time.Duration `long:"max-delay" description:"largest delay of a datagram" default:"0s"`
	Seed        uint64        `long:"seed" description:"seed of all random choices" default:"1"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("program", "standin-fabric").Logger()
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		os.Exit(1)
	}
}

func run(log zerolog.Logger) error {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return nil
	} else if err != nil {
		return err
	}
	cfg, err := o.config(log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	f, cleanup, err := standfabric.Start(cfg)
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info().Strs("services", o.Routes).Msg("serving")
	<-ctx.Done()
	log.Info().Interface("stats", f.Stats()).Msg("stopping")
	return nil
}
