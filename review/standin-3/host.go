//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a backend server writes its entry (heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// hostConfig describes a backend server.
type hostConfig struct {
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	// work is how long a request runs.
	work time.Duration
	// coldFor is how long the backend server is cold after this start.
	coldFor time.Duration
}

// host is one run of a backend server.
type host struct {
	hostConfig
	rec        *recorder
	store      *store
	callerPort uint16
	conn       *net.UDPConn
	born       time.Time
	stop       chan struct{}
	slots      chan struct{}

	mu      sync.Mutex
	seq     int
	state   string
	flows   map[netip.AddrPort]*hostFlow
	opening []opening
	ran     map[string]int
	foreign int
}

// opening is an opening packet that a backend server took.
type opening struct {
	at   time.Time
	flow netip.AddrPort
}

type hostFlow struct {
	dst      netip.AddrPort
	echo     uint32
	isn      uint32
	isOpen   bool
	received uint32
	sent     uint32
	answer   []byte
}

func (c *hostConfig) name() string { return fmt.Sprintf("i-%08x", c.id) }
func (c *hostConfig) key() string  { return "servers/" + c.name() }

func startHost(c hostConfig, rec *recorder, st *store, callerPort uint16) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address))
	if err != nil {
		return nil, err
	}
	h := &host{
		hostConfig: c, rec: rec, store: st, callerPort: callerPort, conn: conn, born: time.Now(), stop: make(chan struct{}),
		slots: make(chan struct{}, slotsPerHost), state: "ready", flows: map[netip.AddrPort]*hostFlow{}, ran: map[string]int{},
	}
	rec.logf("host %s starts at %s for %s", h.name(), c.address, c.service)
	h.write()
	go h.loop()
	go h.beat()
	return h, nil
}

// slotsPerHost is the number of requests that a backend server runs at once.
const slotsPerHost = 2

// crash ends the run at once; it says nothing.
func (h *host) crash() {
	h.rec.logf("host %s crashes", h.name())
	close(h.stop)
	_ = h.conn.Close()
}

func (h *host) entry() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	left := max(0, h.coldFor-time.Since(h.born)).Milliseconds()
	return map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "capacity": slotsPerHost,
		"state": h.state, "warmup_left_ms": left, "seq": h.seq, "born": h.born.UnixMilli(),
	}
}

func (h *host) write() bool { return h.store.put(h.key(), h.entry()) }

// beat writes the entry at each heartbeat, and again soon if the store has not accepted it.
func (h *host) beat() {
	for {
		wait := heartbeat
		if !h.write() {
			wait = heartbeat / 4
		}
		select {
		case <-time.After(wait):
		case <-h.stop:
			return
		}
	}
}

func (h *host) loop() {
	buf := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > idBytes {
			h.handle(binary.BigEndian.Uint64(buf), from.Addr().Unmap(), buf[idBytes:n])
		}
	}
}

func (h *host) handle(id uint64, vm netip.Addr, b []byte) {
	p, ok := decode(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok || !p.isSound || id != 0 && id != h.id {
		h.foreign++
		return
	}
	f := h.flows[p.src]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		if f == nil || f.dst != p.dst {
			f = &hostFlow{dst: p.dst, isn: rand.Uint32(), received: p.seq + 1}
			f.sent = f.isn + 1
			h.flows[p.src] = f
			h.opening = append(h.opening, opening{at: time.Now(), flow: p.src})
			h.rec.logf("host %s takes the opening packet of %s from VM %s", h.name(), p.src, vm)
		}
		f.echo = p.echo
		h.send(p.src, &packet{flags: flagSYN | flagACK, echo: f.echo, seq: f.isn, ack: f.received, src: p.dst, dst: p.src})
	case p.flags&flagRST != 0:
		delete(h.flows, p.src)
	case f == nil || f.dst != p.dst || !f.isOpen && p.ack != f.isn+1:
		h.send(p.src, &packet{flags: flagRST, echo: p.echo, seq: p.ack, src: p.dst, dst: p.src})
	default:
		h.receive(f, &p)
	}
}

// receive handles a packet of an open flow; the data of one packet are one request.
func (h *host) receive(f *hostFlow, p *packet) {
	f.isOpen, f.echo = true, p.echo
	switch {
	case p.flags&flagFIN != 0:
		delete(h.flows, p.src)
		h.send(p.src, &packet{flags: flagACK | flagFIN, echo: f.echo, seq: f.sent, ack: p.seq + 1, src: p.dst, dst: p.src})
	case len(p.data) == 0:
	case p.seq == f.received:
		f.received += uint32(len(p.data))
		f.answer = nil
		go h.run(f, *p)
	case f.answer != nil:
		h.answer(f, p)
	}
}

func (h *host) run(f *hostFlow, p packet) {
	h.slots <- struct{}{}
	id := requestID(p.data)
	h.rec.logf("host %s runs %s", h.name(), id)
	time.Sleep(h.work)
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[id]++
	body := h.service + " " + id
	f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nPimentoyard-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", h.name(), len(body), body)
	f.sent += uint32(len(f.answer))
	h.answer(f, &p)
}

func (h *host) answer(f *hostFlow, p *packet) {
	seq := f.sent - uint32(len(f.answer))
	h.send(p.src, &packet{flags: flagACK, echo: f.echo, seq: seq, ack: f.received, src: p.dst, dst: p.src, data: f.answer})
}

func (h *host) send(caller netip.AddrPort, p *packet) {
	// An error counts as a lost packet.
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(caller.Addr(), h.callerPort))
}

const requestIDHeader = "Pimentoyard-Request-Id: "

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), requestIDHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
