package pimudp

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// reader is one read loop of one socket with its own buffer and decoder.
type reader struct {
	server  *Server
	sock    *socket
	decoder *pimedge.Decoder
	buf     []byte
	// responder is reused for all flow packets.
	responder responder
}

func newReader(s *Server, sock *socket) *reader {
	return &reader{server: s, sock: sock, decoder: pimedge.NewDecoder(), buf: make([]byte, maxDatagram+1)}
}

func (l *reader) run(ctx context.Context) {
	for {
		n, source, err := l.sock.conn.ReadFromUDPAddrPort(l.buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.server.counters.readErrors.Add(1)
			continue
		}
		l.handle(ctx, netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), l.buf[:n])
	}
}

func (l *reader) handle(ctx context.Context, source netip.AddrPort, datagram []byte) {
	l.server.counters.received.Add(1)
	pkt, err := l.decoder.Decode(l.sock.service.ID, source, datagram)
	if err != nil {
		l.reject(source, err)
		return
	}
	r := responder{server: l.server, sock: l.sock, source: source, exchange: pkt.Exchange()}
	if pkt.Kind == pimedge.KindFlow {
		l.responder = r
		l.server.cfg.Handler(ctx, pkt, &l.responder)
		return
	}
	l.dispatch(ctx, pkt, r)
}

// dispatch runs a request in a goroutine of its own; beyond the limit, the request is refused at once. A POST with a
// token is dropped instead: another copy of it may be running, so a refusal could be false, and the caller repeats it.
func (l *reader) dispatch(ctx context.Context, pkt *pimedge.Packet, r responder) {
	select {
	case l.server.requests <- struct{}{}:
	default:
		l.server.counters.overloaded.Add(1)
		if pkt.Kind == pimedge.KindPost && len(pkt.Token) > 0 {
			return
		}
		l.server.report(r.Reply(l.server.cfg.Overload(pkt)))
		return
	}
	job := &job{server: l.server, pkt: pkt.Clone(), responder: r}
	l.server.wg.Go(func() { job.run(ctx) })
}

func (l *reader) reject(source netip.AddrPort, err error) {
	l.server.counters.malformed.Add(1)
	var bad *pimedge.DecodeError
	if !errors.As(err, &bad) || !bad.Answerable {
		return
	}
	r := &responder{server: l.server, sock: l.sock, source: source, exchange: bad.Exchange}
	l.server.report(r.Reply(pimedge.BadInput()))
}

// job is one request that is being handled.
type job struct {
	server    *Server
	pkt       *pimedge.Packet
	responder responder
}

func (j *job) run(ctx context.Context) {
	defer func() { <-j.server.requests }()
	j.server.cfg.Handler(ctx, j.pkt, &j.responder)
}
