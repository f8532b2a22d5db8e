package pimops

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// DefaultAddress is on the loopback interface, since the endpoints have no access control.
const DefaultAddress = "127.0.0.1:9470"

// loopback is the host that is used if the address has none.
const loopback = "127.0.0.1"

// The time limits of an HTTP connection, so that a slow or idle client does not hold it for ever.
const (
	headerTimeout = 2 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 30 * time.Second
)

// ErrQuery means that the query parameters of a request are wrong.
var ErrQuery = errors.New("wrong query parameters")

// ErrBusy means that too many requests were made.
var ErrBusy = errors.New("too many requests")

// Config holds the address of the server and the functions behind its endpoints.
type Config struct {
	// Address is host and port; without a host, the server listens on the loopback interface. Empty means
	// DefaultAddress.
	Address string
	// WriteMetrics writes all metrics; nil means the default set of VictoriaMetrics/metrics and those of the process.
	WriteMetrics func(w io.Writer)
	// Status returns the value of /status, which is written as JSON; nil disables the endpoint.
	Status func(ctx context.Context) (any, error)
	// Explain returns the value of /explain, which is written as JSON; nil disables the endpoint.
	// Its error is ErrQuery if the parameters are wrong, ErrBusy if there were too many requests.
	Explain func(ctx context.Context, parameters url.Values) (any, error)
	Log     zerolog.Logger
}

// Server is a running operator server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     http.Server
	done     chan struct{}
}

// New starts a server. The cleanup function stops it and waits for running requests until its context ends.
func New(ctx context.Context, cfg Config) (s *Server, cleanup func(context.Context) error, err error) {
	defer func() {
		err = oops.In("pimops").With("address", cfg.Address).Wrapf(err, "start the operator server")
	}()

	address, err := listenAddress(cfg.Address)
	if err != nil {
		return nil, nil, err
	}
	if cfg.WriteMetrics == nil {
		cfg.WriteMetrics = writeDefaultMetrics
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s = &Server{cfg: cfg, listener: listener, done: make(chan struct{})}
	s.http = http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	go s.run()
	return s, s.stop, nil
}

// listenAddress applies the defaults of Config.Address.
func listenAddress(address string) (string, error) {
	if address == "" {
		return DefaultAddress, nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	if host == "" {
		host = loopback
	}
	return net.JoinHostPort(host, port), nil
}

func writeDefaultMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) run() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("operator server stopped")
	}
}

func (s *Server) stop(ctx context.Context) (err error) {
	defer func() { err = oops.In("pimops").Wrapf(err, "stop the operator server") }()

	if err = s.http.Shutdown(ctx); err != nil {
		err = errors.Join(err, s.http.Close())
	}
	<-s.done
	return err
}
