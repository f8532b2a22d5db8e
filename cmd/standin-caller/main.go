// Command standin-caller runs the callers of one contract and prints a summary. It exits with 1 if an answer did not
// belong to its request.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standcaller"
	"github.com/pimentoyard/pimentoyard/internal/standin/standmain"
)

type options struct {
	Service     string        `long:"service" description:"published service address" required:"true"`
	Local       string        `long:"local" description:"local ip address; it selects the contract"`
	Flows       int           `long:"flows" description:"flows to open" default:"0"`
	Rate        float64       `long:"rate" description:"requests per second" default:"10"`
	Duration    time.Duration `long:"duration" description:"length of the run" default:"10s"`
	PostShare   float64       `long:"post-share" description:"share of non-idempotent requests" default:"0.5"`
	Path        string        `long:"path" description:"path of requests and flows" default:"/items"`
	BodyBytes   int           `long:"body-bytes" description:"length of a request body" default:"64"`
	AnswerBytes int           `long:"answer-bytes" description:"length of an answer" default:"0"`
	Timeout     time.Duration `long:"timeout" description:"deadline of a request" default:"2s"`
	Refresh     time.Duration `long:"refresh" description:"time between refreshes of a flow" default:"30s"`
	Silence     time.Duration `long:"silence" description:"time after which a silent flow is broken" default:"90s"`
	AckTimeout  time.Duration `long:"ack-timeout" description:"time until the first repetition" default:"1s"`
	Prefix      string        `long:"prefix" description:"prefix of the request ids"`
	Seed        uint64        `long:"seed" description:"seed of all random choices" default:"1"`
}

// errMismatch means that an answer did not belong to its request.
var errMismatch = errors.New("answers did not belong to their requests")

func main() { standmain.Main("standin-caller", run) }

func run(ctx context.Context, o *options, log zerolog.Logger) error {
	cfg, err := o.config(log)
	if err != nil {
		return err
	}
	sum, err := standcaller.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err = json.NewEncoder(os.Stdout).Encode(sum); err != nil {
		return err
	}
	if sum.Mismatched > 0 {
		return errMismatch
	}
	return nil
}

func (o *options) config(log zerolog.Logger) (cfg standcaller.Config, err error) {
	cfg = standcaller.Config{
		Flows:          o.Flows,
		Rate:           o.Rate,
		Duration:       o.Duration,
		PostShare:      o.PostShare,
		Path:           o.Path,
		BodyBytes:      o.BodyBytes,
		AnswerBytes:    o.AnswerBytes,
		Timeout:        o.Timeout,
		Refresh:        o.Refresh,
		SilenceTimeout: o.Silence,
		AckTimeout:     o.AckTimeout,
		Prefix:         o.Prefix,
		Seed:           o.Seed,
		Log:            log,
	}
	if cfg.Service, err = netip.ParseAddrPort(o.Service); err != nil {
		return cfg, err
	}
	if o.Local != "" {
		cfg.Local, err = netip.ParseAddr(o.Local)
	}
	return cfg, err
}
