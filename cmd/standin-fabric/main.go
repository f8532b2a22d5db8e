// Command standin-fabric runs a stand-in network fabric until SIGTERM.
package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standfabric"
	"github.com/pimentoyard/pimentoyard/internal/standin/standmain"
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

func main() { standmain.Main("standin-fabric", run) }

func run(ctx context.Context, o *options, log zerolog.Logger) error {
	cfg, err := o.config(log)
	if err != nil {
		return err
	}
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
