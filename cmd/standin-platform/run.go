package main

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standplatform"
)

type options struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7000" description:"address to serve on"`
	Config      string        `long:"config" description:"TOML or JSON file, or directory with one file per key"`
	Publication []string      `long:"publication" description:"contract or fleet file, instead of --config"`
	Key         string        `long:"key" default:"000102030405060708090a0b0c0d0e0f" description:"token key of a publication, 32 hexadecimal digits"`
	Hold        time.Duration `long:"hold" default:"20s" description:"how long a watch without events is held"`
}

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

func run(ctx context.Context, opts *options, log zerolog.Logger) error {
	state, err := load(opts)
	if err != nil {
		return err
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: standplatform.NewServer(state, opts.Hold), ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { stop(server) })()
	revision, _ := state.Entries()
	log.Info().Stringer("listen", ln.Addr()).Uint64("revision", uint64(revision)).Msg("serving")
	if err = server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func load(opts *options) (*standplatform.State, error) {
	switch {
	case len(opts.Publication) > 0:
		key, err := hex.DecodeString(opts.Key)
		if err != nil {
			return nil, err
		}
		return standplatform.LoadPublication(time.Now(), key, opts.Publication...)
	case opts.Config != "":
		return standplatform.Load(opts.Config)
	default:
		return standplatform.NewState(), nil
	}
}

// stop shuts the server down. It closes connections that are still busy after stopTimeout, since a pending watch may be
// held longer than that.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
