//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// server is a backend server: it accepts flows, runs one request in each packet with data, and answers the requester directly.
type server struct {
	d       *deployment
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	born    int64
	conn    *net.UDPConn

	mu    sync.Mutex
	seq   int
	flows map[netip.AddrPort]*serverFlow
}

// serverFlow is one flow at a backend server.
type serverFlow struct {
	isn, received uint32
	answer        []byte
}

func newServer(d *deployment, service, zone string, address netip.AddrPort) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: rand.Uint64()>>32 | 1, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), conn: conn,
		flows: map[netip.AddrPort]*serverFlow{},
	}
	go s.run()
	return s, nil
}

func (s *server) name() string { return fmt.Sprintf("i-%08x", s.id) }

// publish writes the entry of the backend server to the store.
func (s *server) publish(state string) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.d.store.put("servers/"+s.name(), map[string]any{
		"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "capacity": 2, "state": state,
		"warmup_left_ms": 0, "seq": seq, "born": s.born,
	})
}

func (s *server) run() {
	buf := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > 8 {
			if to := binary.BigEndian.Uint64(buf); to == 0 || to == s.id {
				s.handle(buf[8:n])
			}
		}
	}
}

func (s *server) handle(b []byte) {
	p, isWhole := decode(b)
	if !isWhole {
		s.d.record("server %s: packet from %v was changed on the way", s.name(), p.src)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.src]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{isn: rand.Uint32(), received: p.seq + 1}
			s.flows[p.src] = f
		}
		s.send(&packet{flags: flagSYN | flagACK, echo: p.echo, seq: f.isn, ack: f.received, src: p.dst, dst: p.src})
	case p.flags&flagRST != 0:
		delete(s.flows, p.src)
	case f == nil:
		s.send(&packet{flags: flagRST, echo: p.echo, seq: p.ack, src: p.dst, dst: p.src})
	case p.flags&flagFIN != 0:
		delete(s.flows, p.src)
		s.send(&packet{flags: flagACK, echo: p.echo, seq: p.ack, ack: p.seq + 1, src: p.dst, dst: p.src})
	case len(p.data) == 0:
	case p.seq == f.received:
		f.received += uint32(len(p.data))
		s.d.ran(s, string(p.data))
		f.answer = append([]byte(s.service+" "+s.name()+" "), p.data...)
		s.answer(f, &p)
	case f.answer != nil:
		s.answer(f, &p)
	}
}

func (s *server) answer(f *serverFlow, p *packet) {
	s.send(&packet{flags: flagACK, echo: p.echo, seq: p.ack, ack: f.received, src: p.dst, dst: p.src, data: f.answer})
}

// send sends a packet to the requester, at the port that the settings of the VMs give.
func (s *server) send(p *packet) {
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), s.d.packetPort)) // counts as a lost datagram
}
