//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The ways in which a flow or a request ends without an answer.
var (
	errOwnReset  = errors.New("reset by the system")
	errHostReset = errors.New("reset by a backend server")
	errSilent    = errors.New("no answer")
)

// caller opens flows from one address.
type caller struct {
	conn   *net.UDPConn
	addr   netip.Addr
	fabric *fabric
	rec    *recorder

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*callerFlow
}

type callerFlow struct {
	c       *caller
	src     netip.AddrPort
	dst     netip.AddrPort
	arrived chan packet
	echo    uint32
	seq     uint32
	ack     uint32
	// vm is the VM that got the last packet.
	vm netip.Addr
}

func newCaller(addr netip.AddrPort, f *fabric, rec *recorder) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, addr: addr.Addr(), fabric: f, rec: rec, port: 20_000, flows: map[uint16]*callerFlow{}}
	go c.loop()
	return c, nil
}

func (c *caller) loop() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p, ok := decode(buf[:n])
		if err != nil || !ok || !p.isSound && !p.isOwnReset {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.dst != p.src {
			continue
		}
		select {
		case f.arrived <- p:
		default:
		}
	}
}

func (c *caller) newFlow(dst netip.AddrPort) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &callerFlow{c: c, src: netip.AddrPortFrom(c.addr, c.port), dst: dst, arrived: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

func (f *callerFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.src.Port())
}

// open sends the opening packet at once and after 200 and 600 ms, and gives up after 1.4 s.
func (c *caller) open(dst netip.AddrPort) (*callerFlow, error) {
	f := c.newFlow(dst)
	c.rec.logf("caller opens %s to %s", f.src, dst)
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(&packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		p, ok := f.await(wait, func(p *packet) bool { return p.flags&(flagSYN|flagRST) != 0 })
		switch {
		case ok && p.flags&flagRST != 0:
			f.forget()
			return nil, resetBy(&p)
		case ok:
			f.echo, f.ack = p.echo, p.seq+1
			f.seq++
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return f, nil
		}
	}
	f.forget()
	return nil, errSilent
}

func resetBy(p *packet) error {
	if p.isOwnReset {
		return errOwnReset
	}
	return errHostReset
}

// request sends one request and waits for its answer; it repeats the packet after 200 ms, twice that, and so on up to 1.6 s.
func (f *callerFlow) request(id string, timeout time.Duration) (answer string, err error) {
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\n%s%s\r\n\r\n", f.dst.Addr(), requestIDHeader, id)
	deadline := time.Now().Add(timeout)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
		p, ok := f.await(min(wait, time.Until(deadline)), func(p *packet) bool {
			return p.flags&flagRST != 0 || len(p.data) > 0 && p.seq == f.ack
		})
		switch {
		case ok && p.flags&flagRST != 0:
			f.forget()
			return "", resetBy(&p)
		case ok:
			f.echo = p.echo
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return string(p.data), nil
		}
	}
	return "", errSilent
}

// idle waits while the flow is not used, and returns the error of a reset that arrives meanwhile.
func (f *callerFlow) idle(d time.Duration) error {
	if p, ok := f.await(d, func(p *packet) bool { return p.flags&flagRST != 0 }); ok {
		f.forget()
		return resetBy(&p)
	}
	return nil
}

func (f *callerFlow) close() {
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	f.forget()
}

func (f *callerFlow) await(wait time.Duration, isWanted func(*packet) bool) (p packet, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case p = <-f.arrived:
			if isWanted(&p) {
				return p, true
			}
		case <-timer.C:
			return p, false
		}
	}
}

func (f *callerFlow) send(p *packet) {
	vm, ok := f.c.fabric.choose(f.src)
	if !ok {
		return
	}
	f.vm = vm.Addr()
	p.src, p.dst, p.echo = f.src, f.dst, f.echo
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), vm) // an error counts as a lost packet
}
