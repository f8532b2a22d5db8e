package pimpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
)

const (
	// handshakeTimeout limits the time for which an unauthenticated connection uses resources.
	handshakeTimeout = 3 * time.Second
	// maxConns limits the connections from peers; 380 VMs of a data centre with 4 connections each need 1,520.
	maxConns = 4096
	// acceptRetryDelay follows a failed accept, so that repeated failures do not use a whole core.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server serves the drpc calls of other VMs.
type Server struct {
	ln   net.Listener
	tls  *tls.Config
	drpc *drpcserver.Server
	log  zerolog.Logger
	wg   sync.WaitGroup
	// connSem is a semaphore that holds an element for each open connection.
	connSem chan struct{}
	refused *metrics.Counter
}

// NewServer serves impl on ln until cleanup is called, which also waits for running calls to end.
func NewServer(ctx context.Context, ln net.Listener, creds *Credentials, impl pimpb.DRPCPeerServer,
	log zerolog.Logger, set *metrics.Set,
) (s *Server, cleanup func(), err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "start peer server") }()
	mux := drpcmux.New()
	if err = pimpb.DRPCRegisterPeer(mux, impl); err != nil {
		return nil, nil, err
	}
	s = &Server{
		ln: ln, tls: creds.serverConfig(), drpc: drpcserver.New(mux), log: log, connSem: make(chan struct{}, maxConns),
		refused: set.GetOrCreateCounter("pimentoyard_peer_refused_connections_total"),
	}
	ctx, cancel := context.WithCancel(ctx)
	s.wg.Add(1)
	go s.loop(ctx)
	return s, func() {
		cancel()
		_ = ln.Close()
		s.wg.Wait()
	}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

func (s *Server) loop(ctx context.Context) {
	defer s.wg.Done()
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			if conn != nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accept failed")
			sleep(ctx, acceptRetryDelay)
			continue
		}
		s.accept(ctx, conn)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	select {
	case s.connSem <- struct{}{}:
		s.wg.Add(1)
		go s.run(ctx, conn)
	default:
		s.refused.Inc()
		_ = conn.Close()
	}
}

func (s *Server) run(ctx context.Context, raw net.Conn) {
	defer s.wg.Done()
	defer func() { <-s.connSem }()
	conn := tls.Server(raw, s.tls)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	id, err := handshake(ctx, conn)
	if err != nil {
		s.refused.Inc()
		s.log.Debug().Err(err).Stringer("remote", raw.RemoteAddr()).Msg("peer refused")
		return
	}
	if err = s.drpc.ServeOne(context.WithValue(ctx, identityKey{}, id), conn); err != nil {
		s.log.Debug().Err(err).Stringer("peer", id.Node).Msg("peer connection ended")
	}
}

func handshake(ctx context.Context, conn *tls.Conn) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return Identity{}, err
	}
	return identityOf(conn.ConnectionState())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

type identityKey struct{}

// PeerOf returns the verified identity of the caller from the context of a server call.
func PeerOf(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}
