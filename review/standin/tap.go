//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// The layout of a datagram for a backend server: the id of the backend server, then the packet.
const (
	prefixBytes = 8
	headerBytes = 32
	flagSYN     = 16
	flagRST     = 128
)

// flow is a flow as its packets name it.
type flow struct{ caller, destination netip.AddrPort }

// arrival is one datagram that reached the address of a backend server.
type arrival struct {
	flow  flow
	flags byte
	at    time.Time
}

// tap stands at the published address of a backend server. It notes each datagram and passes it on unchanged.
type tap struct {
	host    *platformtest.Host
	conn    *net.UDPConn
	address netip.AddrPort

	mu       sync.Mutex
	arrivals []arrival
}

func (d *deployment) newTap(h *platformtest.Host) (t *tap, err error) {
	behind := netip.MustParseAddrPort(h.Entry()["address"].(string))
	at := behind.Addr().As4()
	at[2] = tapGroup
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(at), behind.Port())))
	if err != nil {
		return nil, err
	}
	t = &tap{host: h, conn: conn, address: netip.AddrPortFrom(netip.AddrFrom4(at), behind.Port())}
	d.cleanups = append(d.cleanups, func() { _ = conn.Close() }) // ends the loop
	go t.loop(behind)
	return t, nil
}

// tapGroup is the third byte of the addresses of taps.
const tapGroup = 4

func (t *tap) loop(behind netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if n >= prefixBytes+headerBytes {
			t.note(buf[:n])
		}
		_, _ = t.conn.WriteToUDPAddrPort(buf[:n], behind) // an error counts as packet loss
	}
}

func (t *tap) note(b []byte) {
	p := b[prefixBytes:]
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{p[ip+3], p[ip+2], p[ip+1], p[ip]}), binary.LittleEndian.Uint16(p[port:]))
	}
	a := arrival{
		flow: flow{caller: address(28, 26), destination: address(20, 24)}, flags: p[0], at: time.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, a)
}

// openedAfter returns the number of flows whose opening packet arrived for the first time after an instant, and that were opened.
func (t *tap) openedAfter(at time.Time) (opened int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, isOpen := map[flow]arrival{}, map[flow]bool{}
	for _, a := range t.arrivals {
		if _, ok := first[a.flow]; !ok && a.flags&flagSYN != 0 {
			first[a.flow] = a
		}
		isOpen[a.flow] = isOpen[a.flow] || a.flags&(flagSYN|flagRST) == 0
	}
	for f, a := range first {
		if isOpen[f] && a.at.After(at) {
			opened++
		}
	}
	return opened
}
