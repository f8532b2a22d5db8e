//go:build review

package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The outcomes of a request.
const (
	outcomeReset  = "reset"
	outcomeNone   = "no answer"
	outcomeAnswer = "answered"
)

// requester sends requests, each in a flow of its own.
type requester struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newRequester(address netip.AddrPort) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	r := &requester{conn: conn, ip: address.Addr(), port: 20_000, flows: map[uint16]chan packet{}}
	go r.run()
	return r, nil
}

func (r *requester) run() {
	buf := make([]byte, 4096)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < headerBytes {
			continue
		}
		// A reset of the system under test has no checksum.
		p, isWhole := decode(buf[:n])
		if !isWhole && p.flags != flagRST {
			continue
		}
		r.mu.Lock()
		f := r.flows[p.dst.Port()]
		r.mu.Unlock()
		if f != nil {
			select {
			case f <- p:
			default: // a full queue loses the packet
			}
		}
	}
}

// request opens a flow through a VM, sends one request and closes the flow. It sends the opening packet once and the request up to
// three times.
func (r *requester) request(vm, route netip.AddrPort, data string) (outcome string) {
	r.mu.Lock()
	r.port++
	src, in := netip.AddrPortFrom(r.ip, r.port), make(chan packet, 16)
	r.flows[src.Port()] = in
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.flows, src.Port())
		r.mu.Unlock()
	}()
	send := func(p packet) {
		p.src, p.dst = src, route
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), vm) // counts as a lost datagram
	}
	await := func(d time.Duration, wanted func(*packet) bool) (packet, bool) {
		timer := time.NewTimer(d)
		defer timer.Stop()
		for {
			select {
			case p := <-in:
				if wanted(&p) {
					return p, true
				}
			case <-timer.C:
				return packet{}, false
			}
		}
	}
	seq := rand.Uint32()
	send(packet{flags: flagSYN, seq: seq})
	opened, ok := await(200*time.Millisecond, func(p *packet) bool { return p.flags&(flagSYN|flagRST) != 0 })
	switch {
	case !ok:
		return outcomeNone
	case opened.flags&flagRST != 0:
		return outcomeReset
	}
	seq++
	ack := opened.seq + 1
	for range 3 {
		send(packet{flags: flagACK, echo: opened.echo, seq: seq, ack: ack, data: []byte(data)})
		p, ok := await(200*time.Millisecond, func(p *packet) bool { return p.flags&flagRST != 0 || len(p.data) > 0 })
		switch {
		case ok && p.flags&flagRST != 0:
			return outcomeReset
		case ok:
			send(packet{flags: flagFIN | flagACK, echo: opened.echo, seq: seq + uint32(len(data)), ack: ack + uint32(len(p.data))})
			return outcomeAnswer
		}
	}
	return outcomeNone
}
