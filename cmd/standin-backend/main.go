// Command standin-backend runs a stand-in backend server until SIGTERM.
package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
	"github.com/pimentoyard/pimentoyard/internal/standin/standmain"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type options struct {
	ID          uint32        `long:"id" description:"backend server id" default:"1"`
	Generation  uint16        `long:"generation" description:"generation of this run" default:"1"`
	HTTP        string        `long:"http" description:"http address" default:"127.0.0.1:0"`
	Flow        string        `long:"flow" description:"flow address" default:"127.0.0.1:0"`
	Service     string        `long:"service" description:"published service address; empty accepts any"`
	Name        string        `long:"name" description:"service name; other Host headers get 421, empty accepts any"`
	Slots       int           `long:"slots" description:"requests that run at once" default:"2"`
	ServiceTime time.Duration `long:"service-time" description:"time of one request" default:"20ms"`
	ColdFactor  float64       `long:"cold-factor" description:"factor on the service time at the start" default:"1"`
	ColdFor     time.Duration `long:"cold-for" description:"time until the server is warm" default:"10s"`
	RetryAfter  time.Duration `long:"retry-after" description:"advice to shed requests" default:"1s"`
	Notify      time.Duration `long:"notify" description:"time between notifications of a flow" default:"1s"`
	FlowTTL     time.Duration `long:"flow-ttl" description:"lifetime of a flow without refresh" default:"100s"`
}

func main() { standmain.Main("standin-backend", run) }

func run(ctx context.Context, o *options, log zerolog.Logger) error {
	cfg, err := o.config(log)
	if err != nil {
		return err
	}
	s, cleanup, err := standbackend.Start(cfg)
	if err != nil {
		return err
	}
	defer cleanup()
	log.Info().Stringer("http", s.HTTPAddress()).Stringer("flow", s.FlowAddress()).Msg("serving")
	<-ctx.Done()
	log.Info().Interface("stats", s.Stats()).Msg("stopping")
	return nil
}

func (o *options) config(log zerolog.Logger) (cfg standbackend.Config, err error) {
	cfg = standbackend.Config{
		ID:             pimid.BackendID(o.ID),
		Generation:     pimid.Generation(o.Generation),
		ServiceName:    o.Name,
		Slots:          pimid.Slots(o.Slots),
		ServiceTime:    o.ServiceTime,
		ColdFactor:     o.ColdFactor,
		ColdFor:        o.ColdFor,
		RetryAfter:     o.RetryAfter,
		NotifyInterval: o.Notify,
		FlowTTL:        o.FlowTTL,
		Log:            log,
	}
	if cfg.HTTPAddress, err = netip.ParseAddrPort(o.HTTP); err != nil {
		return cfg, err
	}
	if cfg.FlowAddress, err = netip.ParseAddrPort(o.Flow); err != nil {
		return cfg, err
	}
	if o.Service != "" {
		cfg.ServiceAddress, err = netip.ParseAddrPort(o.Service)
	}
	return cfg, err
}
