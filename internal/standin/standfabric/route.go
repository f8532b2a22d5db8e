package standfabric

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxDatagram is the size of the read buffers in bytes; every UDP datagram fits.
	maxDatagram = 65_535
	// receiveBufferBytes is the size of the receive buffer of each socket.
	receiveBufferBytes = 4 << 20
)

// route is the socket on the published address of one service, with the sockets of its callers.
type route struct {
	fabric *Fabric
	cfg    Route
	conn   *net.UDPConn

	mu      sync.Mutex
	closed  bool
	sockets map[netip.AddrPort]*callerSocket
}

// callerSocket replaces the socket of one caller towards VMs and backend servers. It has the IP address of the caller,
// so that contracts can be selected by source prefix, and another port. It stays open as long as the fabric, so that
// flows keep their caller address.
type callerSocket struct {
	route  *route
	caller netip.AddrPort
	conn   *net.UDPConn
}

func (f *Fabric) openRoute(cfg Route) error {
	conn, err := listen(cfg.Listen)
	if err != nil {
		return err
	}
	r := &route{fabric: f, cfg: cfg, conn: conn, sockets: make(map[netip.AddrPort]*callerSocket)}
	f.routes[cfg.Service] = r
	f.wg.Go(r.run)
	return nil
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	if err = conn.SetReadBuffer(receiveBufferBytes); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

func (r *route) address() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (r *route) edgePort() uint16 {
	if r.cfg.EdgePort != 0 {
		return r.cfg.EdgePort
	}
	return r.address().Port()
}

// run receives the datagrams of callers.
func (r *route) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, caller, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.fabric.fromCallers.Add(1)
		s, err := r.socketOf(netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()))
		if err != nil {
			r.fabric.cfg.Log.Warn().Err(err).Msg("cannot open a socket for the caller")
			continue
		}
		r.fabric.impair(buf[:n], s.toVM)
	}
}

// socketOf returns the socket for a caller and opens it on first use.
func (r *route) socketOf(caller netip.AddrPort) (*callerSocket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sockets[caller]; ok {
		return s, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	conn, err := listen(netip.AddrPortFrom(caller.Addr(), 0))
	if err != nil {
		return nil, err
	}
	s := &callerSocket{route: r, caller: caller, conn: conn}
	r.sockets[caller] = s
	r.fabric.wg.Go(s.run)
	return s, nil
}

func (r *route) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, s := range r.sockets {
		_ = s.conn.Close()
	}
}

// run receives the answers of VMs and backend servers.
func (s *callerSocket) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := s.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.route.fabric.toCallers.Add(1)
		s.route.fabric.impair(buf[:n], s.toCaller)
	}
}

// toVM sends one copy to a random live VM; two copies of a datagram may reach different VMs.
func (s *callerSocket) toVM(datagram []byte) {
	target, ok := s.route.fabric.target(s.route)
	if !ok {
		s.route.fabric.unroutable.Add(1)
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(datagram, target)
}

func (s *callerSocket) toCaller(datagram []byte) {
	_, _ = s.route.conn.WriteToUDPAddrPort(datagram, s.caller)
}

// impair drops, duplicates and delays a datagram at random and passes each copy that is left to send.
func (f *Fabric) impair(datagram []byte, send func([]byte)) {
	copies := f.chooser.copies()
	switch copies {
	case 0:
		f.lost.Add(1)
	case 2:
		f.duplicated.Add(1)
	}
	for range copies {
		delay := f.chooser.delay()
		if delay == 0 {
			send(datagram)
			continue
		}
		kept := bytes.Clone(datagram)
		// A send after the fabric was closed fails and is ignored.
		time.AfterFunc(delay, func() { send(kept) })
	}
}
