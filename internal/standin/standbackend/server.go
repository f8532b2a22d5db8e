package standbackend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// stopTimeout bounds the wait for running requests when the server stops.
const stopTimeout = 5 * time.Second

// Server is one stand-in backend server.
type Server struct {
	cfg      Config
	listener net.Listener
	udp      *net.UDPConn
	http     *http.Server
	flows    *flows
	records  *records
	slots    chan struct{}
	wg       sync.WaitGroup
	started  time.Time

	drainedAt atomic.Pointer[time.Time]
	// connections counts the accepted connections; the count at its acceptance is the number of a connection. Requests
	// on connections with numbers up to stalledUpTo are executed, but get no response.
	connections atomic.Int64
	stalledUpTo atomic.Int64
	// misleading makes the load endpoint report an idle server that does not drain.
	misleading atomic.Bool
}

// Start opens the sockets and serves; it returns the error of a socket. The cleanup function waits up to 5 s for
// running requests.
func Start(cfg Config) (s *Server, cleanup func(), err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "start backend server")
		}
	}()
	cfg = cfg.withDefaults()
	s = &Server{cfg: cfg, flows: newFlows(cfg.FlowTTL), records: newRecords(), slots: make(chan struct{}, cfg.Slots), started: time.Now()}
	var listen net.ListenConfig
	if s.listener, err = listen.Listen(context.Background(), "tcp", cfg.HTTPAddress.String()); err != nil {
		return nil, nil, err
	}
	if s.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.FlowAddress)); err != nil {
		return nil, nil, errors.Join(err, s.listener.Close())
	}
	s.http = &http.Server{Handler: s.handler(), ConnContext: s.numberConnection, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.wg.Go(s.serveHTTP)
	s.wg.Go(func() { s.readFlows(ctx) })
	s.wg.Go(func() { s.notifyLoop(ctx) })
	return s, func() { s.stop(cancel) }, nil
}

// HTTPAddress returns the bound HTTP address.
func (s *Server) HTTPAddress() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// FlowAddress returns the bound flow address.
func (s *Server) FlowAddress() netip.AddrPort { return s.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *Server) stop(cancel context.CancelFunc) {
	cancel()
	ctx, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	if err := s.http.Shutdown(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("running requests cut off when the server stopped")
		_ = s.http.Close()
	}
	_ = s.udp.Close()
	s.wg.Wait()
}

func (s *Server) serveHTTP() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error().Err(err).Msg("http server ended")
	}
}

type connectionKey struct{}

// numberConnection adds the number of the connection to its context, so that StallConnections affects only the
// connections that are open when it is called.
func (s *Server) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, s.connections.Add(1))
}

func (s *Server) isStalled(ctx context.Context) bool {
	number, ok := ctx.Value(connectionKey{}).(int64)
	return ok && number <= s.stalledUpTo.Load()
}

func (s *Server) isDraining() bool { return s.drainedAt.Load() != nil }
