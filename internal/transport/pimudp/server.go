package pimudp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ErrNoService means that the server has no socket for a service.
var ErrNoService = errors.New("no socket for the service")

// Server owns the service sockets and their read loops.
type Server struct {
	ctx context.Context
	mu  sync.RWMutex
	// sockets is guarded by mu.
	sockets map[pimid.ServiceID]*socket
	cfg     Config
	log     zerolog.Logger
	// requests is a semaphore that holds an element for each request being handled.
	requests chan struct{}
	// encapsulators holds idle encapsulators for reuse; a responder may be used in any goroutine, so it cannot own one.
	encapsulators chan *Encapsulator
	wg            sync.WaitGroup
	counters      counters
}

// socket is one service socket.
type socket struct {
	service Service
	conn    *net.UDPConn
}

// Listen opens the service sockets and starts their read loops. The cleanup function cancels the context of the
// handlers, closes the sockets and waits for the read loops and the handlers. The error is that of a socket.
func Listen(cfg Config) (s *Server, cleanup func(), err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "listen on service addresses")
		}
	}()
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		cfg:           cfg,
		log:           cfg.Log,
		sockets:       make(map[pimid.ServiceID]*socket, len(cfg.Services)),
		requests:      make(chan struct{}, cfg.MaxRequests),
		encapsulators: make(chan *Encapsulator, len(cfg.Services)*cfg.ReadLoops),
	}
	s.ctx = ctx
	cleanup = func() {
		cancel()
		s.closeSockets()
		s.wg.Wait()
	}
	if err = s.SetServices(cfg.Services); err != nil {
		cleanup()
		return nil, nil, err
	}
	return s, cleanup, nil
}

// Address returns the local address to which the socket of a service is bound; ok is false for an unknown service.
func (s *Server) Address(id pimid.ServiceID) (addr netip.AddrPort, ok bool) {
	sock := s.socket(id)
	if sock == nil {
		return netip.AddrPort{}, false
	}
	return sock.conn.LocalAddr().(*net.UDPAddr).AddrPort(), true
}

// Forward sends a flow packet that was relayed by another VM to the flow address of a backend server; it returns
// ErrNoService or the error of the socket or of the encapsulator.
func (s *Server) Forward(pkt *pimedge.Packet, flowAddress netip.AddrPort) error {
	sock := s.socket(pkt.Service)
	if sock == nil {
		return ErrNoService
	}
	r := &responder{server: s, sock: sock, source: pkt.Source}
	return r.Forward(pkt, flowAddress)
}

// SetServices opens the sockets of new services and closes those of removed services; a service with a changed address
// gets a new socket. It opens as many sockets as it can and returns the errors of the others.
func (s *Server) SetServices(services []Service) (err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "set services")
		}
	}()
	wanted := make(map[pimid.ServiceID]Service, len(services))
	for _, service := range services {
		wanted[service.ID] = service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sock := range s.sockets {
		if wanted[id] != sock.service {
			s.closeSocket(sock)
			delete(s.sockets, id)
		}
	}
	for id, service := range wanted {
		if s.sockets[id] == nil {
			err = errors.Join(err, s.open(service))
		}
	}
	return err
}

// open opens one socket and starts its read loops; mu is held.
func (s *Server) open(service Service) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service.Listen))
	if err != nil {
		return err
	}
	if err = conn.SetReadBuffer(s.cfg.ReceiveBuffer); err != nil {
		return errors.Join(err, conn.Close())
	}
	sock := &socket{service: service, conn: conn}
	s.sockets[service.ID] = sock
	for range s.cfg.ReadLoops {
		l, err := newReadLoop(s, sock)
		if err != nil {
			return err
		}
		s.wg.Go(func() { l.run(s.ctx) })
	}
	return nil
}

func (s *Server) socket(id pimid.ServiceID) *socket {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sockets[id]
}

func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sock := range s.sockets {
		s.closeSocket(sock)
		delete(s.sockets, id)
	}
}

func (s *Server) closeSocket(sock *socket) {
	if err := sock.conn.Close(); err != nil {
		s.log.Debug().Err(err).Msg("closing a service socket failed")
	}
}

func (s *Server) getEncapsulator() *Encapsulator {
	select {
	case e := <-s.encapsulators:
		return e
	default:
		return NewEncapsulator()
	}
}

func (s *Server) putEncapsulator(e *Encapsulator) {
	select {
	case s.encapsulators <- e:
	default:
	}
}
