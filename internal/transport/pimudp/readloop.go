package pimudp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// readLoop is one read loop of one socket. It holds no buffer while no datagram waits, since a VM serves thousands of
// addresses and a buffer has the size of the largest datagram.
type readLoop struct {
	server *Server
	sock   *socket
	raw    syscall.RawConn
	poll   [1]unix.PollFd
}

// scratch is the scratch memory for one datagram while it is handled: a decoder and buffers.
type scratch struct {
	decoder *pimedge.Decoder
	buf     []byte
	// responder is reused for each flow packet.
	responder responder
}

// scratchPool is the pool of scratch memory that all sockets share.
var scratchPool = sync.Pool{New: func() any {
	return &scratch{decoder: pimedge.NewDecoder(), buf: make([]byte, maxDatagram+1)}
}}

func newReadLoop(s *Server, sock *socket) (*readLoop, error) {
	raw, err := sock.conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &readLoop{server: s, sock: sock, raw: raw}, nil
}

// run handles datagrams until the socket is closed; it takes scratch memory only when a datagram waits.
func (l *readLoop) run(ctx context.Context) {
	for {
		if err := l.raw.Read(l.isReadable); err != nil {
			return
		}
		s := scratchPool.Get().(*scratch)
		isOpen := l.read(ctx, s)
		scratchPool.Put(s)
		if !isOpen {
			return
		}
	}
}

// isReadable reports whether a read will not block. If it returns false, the runtime calls it again when the socket
// becomes readable.
func (l *readLoop) isReadable(fd uintptr) bool {
	l.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}
	n, err := unix.Poll(l.poll[:], 0)
	return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
}

// read reads and handles one datagram; it reports whether the socket is still open.
func (l *readLoop) read(ctx context.Context, s *scratch) bool {
	n, source, err := l.sock.conn.ReadFromUDPAddrPort(s.buf)
	if err != nil {
		l.server.counters.readErrors.Add(1)
		return !errors.Is(err, net.ErrClosed)
	}
	l.handle(ctx, s, netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), s.buf[:n])
	return true
}

func (l *readLoop) handle(ctx context.Context, s *scratch, source netip.AddrPort, datagram []byte) {
	l.server.counters.received.Add(1)
	pkt, err := s.decoder.Decode(l.sock.service.ID, source, datagram)
	if err != nil {
		l.reject(source, err)
		return
	}
	r := responder{server: l.server, sock: l.sock, source: source, exchange: pkt.Exchange()}
	if pkt.Kind == pimedge.KindFlow {
		s.responder = r
		l.server.cfg.Handler(ctx, pkt, &s.responder)
		return
	}
	l.dispatch(ctx, pkt, r)
}

// dispatch handles a request in a separate goroutine; beyond MaxRequests, the request is refused at once. A POST with a
// token is dropped instead: an earlier transmission of it may be running, so the reply that it was not run could be
// false, and the caller sends it again.
func (l *readLoop) dispatch(ctx context.Context, pkt *pimedge.Packet, r responder) {
	select {
	case l.server.requests <- struct{}{}:
	default:
		l.server.counters.overloaded.Add(1)
		if pkt.Kind == pimedge.KindPost && len(pkt.Token) > 0 {
			return
		}
		l.server.recordSendError(r.Reply(l.server.cfg.Overload(pkt)))
		return
	}
	job := &job{server: l.server, pkt: pkt.Clone(), responder: r}
	l.server.wg.Go(func() { job.run(ctx) })
}

// reject counts a malformed datagram and replies with 4.00 if it is a request that can be answered.
func (l *readLoop) reject(source netip.AddrPort, err error) {
	l.server.counters.malformed.Add(1)
	var bad *pimedge.DecodeError
	if !errors.As(err, &bad) || !bad.Answerable {
		return
	}
	r := &responder{server: l.server, sock: l.sock, source: source, exchange: bad.Exchange}
	l.server.recordSendError(r.Reply(pimedge.BadInput()))
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
