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
	maxDatagram   = 65_535
	receiveBuffer = 4 << 20
)

// route is the published address of one service with the ports of its callers.
type route struct {
	fabric *Fabric
	cfg    Route
	conn   *net.UDPConn

	mu     sync.Mutex
	closed bool
	ports  map[netip.AddrPort]*port
}

// port is the address of one caller as VMs and backend servers see it. It has the caller's IP address, so that contracts
// can be selected by source prefix, and stays for the life of the fabric, so that flows keep their caller address.
type port struct {
	route  *route
	caller netip.AddrPort
	conn   *net.UDPConn
}

func (f *Fabric) openRoute(cfg Route) error {
	conn, err := listen(cfg.Listen)
	if err != nil {
		return err
	}
	r := &route{fabric: f, cfg: cfg, conn: conn, ports: make(map[netip.AddrPort]*port)}
	f.routes[cfg.Service] = r
	f.wg.Go(r.run)
	return nil
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	if err = conn.SetReadBuffer(receiveBuffer); err != nil {
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
		p, err := r.portOf(netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()))
		if err != nil {
			r.fabric.cfg.Log.Warn().Err(err).Msg("no port for caller")
			continue
		}
		r.fabric.impair(buf[:n], p.toVM)
	}
}

// portOf returns the port of a caller and opens it on first use.
func (r *route) portOf(caller netip.AddrPort) (*port, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.ports[caller]; ok {
		return p, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	conn, err := listen(netip.AddrPortFrom(caller.Addr(), 0))
	if err != nil {
		return nil, err
	}
	p := &port{route: r, caller: caller, conn: conn}
	r.ports[caller] = p
	r.fabric.wg.Go(p.run)
	return p, nil
}

func (r *route) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, p := range r.ports {
		_ = p.conn.Close()
	}
}

// run receives the answers of VMs and backend servers.
func (p *port) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := p.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.route.fabric.toCallers.Add(1)
		p.route.fabric.impair(buf[:n], p.toCaller)
	}
}

// toVM sends one copy to a random live VM; two copies of a datagram may reach different VMs.
func (p *port) toVM(datagram []byte) {
	target, ok := p.route.fabric.target(p.route)
	if !ok {
		p.route.fabric.unroutable.Add(1)
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(datagram, target)
}

func (p *port) toCaller(datagram []byte) {
	_, _ = p.route.conn.WriteToUDPAddrPort(datagram, p.caller)
}

// impair loses, duplicates and delays a datagram.
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
