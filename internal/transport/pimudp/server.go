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
	cfg      Config
	log      zerolog.Logger
	sockets  map[pimid.ServiceID]*socket
	requests chan struct{}
	// encapsulators holds idle encapsulators, since a responder may be used from any goroutine.
	encapsulators chan *Encapsulator
	wg            sync.WaitGroup
	counters      counters
}

// socket is one service socket.
type socket struct {
	service Service
	conn    *net.UDPConn
}

// Listen opens the service sockets and starts their read loops. The cleanup function closes the sockets, cancels the
// context of the handlers and waits for them. The error is that of the socket.
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
	cleanup = func() {
		cancel()
		s.closeSockets()
		s.wg.Wait()
	}
	for _, service := range cfg.Services {
		if err = s.open(service); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	s.start(ctx)
	return s, cleanup, nil
}

// Address returns the bound address of a service; ok is false for an unknown service.
func (s *Server) Address(id pimid.ServiceID) (addr netip.AddrPort, ok bool) {
	sock, ok := s.sockets[id]
	if !ok {
		return netip.AddrPort{}, false
	}
	return sock.conn.LocalAddr().(*net.UDPAddr).AddrPort(), true
}

// Forward sends a flow packet that another VM received to the flow address of a backend server; it returns the error
// of the socket or the codec, or ErrNoService.
func (s *Server) Forward(pkt *pimedge.Packet, flowAddress netip.AddrPort) error {
	sock, ok := s.sockets[pkt.Service]
	if !ok {
		return ErrNoService
	}
	r := &responder{server: s, sock: sock, source: pkt.Source}
	return r.Forward(pkt, flowAddress)
}

func (s *Server) open(service Service) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service.Listen))
	if err != nil {
		return err
	}
	s.sockets[service.ID] = &socket{service: service, conn: conn}
	if err = conn.SetReadBuffer(s.cfg.ReceiveBuffer); err != nil {
		return err
	}
	return nil
}

func (s *Server) start(ctx context.Context) {
	for _, sock := range s.sockets {
		for range s.cfg.ReadLoops {
			l := newReader(s, sock)
			s.wg.Go(func() { l.run(ctx) })
		}
	}
}

func (s *Server) closeSockets() {
	for _, sock := range s.sockets {
		if err := sock.conn.Close(); err != nil {
			s.log.Debug().Err(err).Msg("close service socket")
		}
	}
}

func (s *Server) takeEncapsulator() *Encapsulator {
	select {
	case e := <-s.encapsulators:
		return e
	default:
		return NewEncapsulator()
	}
}

func (s *Server) giveEncapsulator(e *Encapsulator) {
	select {
	case s.encapsulators <- e:
	default:
	}
}
