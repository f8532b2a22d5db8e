//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The control bits and the size of the head of a packet.
const (
	flagFIN   = 1
	flagACK   = 8
	flagSYN   = 16
	flagRST   = 128
	headBytes = 32
	// idBytes is the space in front of a forwarded packet for the id of its backend server.
	idBytes = 8
	// sumKey is the key of the sums, which the VMs do not know.
	sumKey = 0x2b7e1516
)

// packet is one datagram of a caller or a backend server.
type packet struct {
	flags    byte
	echo     uint32
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
	// isSound is set if the sum is right.
	isSound bool
	// isOwnReset is set for a reset of the system's own: no data and sum 0.
	isOwnReset bool
}

func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	b[0] = p.flags
	le := binary.LittleEndian
	le.PutUint32(b[2:], p.echo)
	le.PutUint32(b[6:], p.seq)
	le.PutUint32(b[10:], p.ack)
	le.PutUint16(b[18:], uint16(len(p.data)))
	putIP(b[20:], p.dst.Addr())
	le.PutUint16(b[24:], p.dst.Port())
	le.PutUint16(b[26:], p.src.Port())
	putIP(b[28:], p.src.Addr())
	b = append(b, p.data...)
	le.PutUint32(b[14:], sum(b))
	return b
}

func decode(b []byte) (p packet, ok bool) {
	le := binary.LittleEndian
	if len(b) < headBytes || int(le.Uint16(b[18:])) != len(b)-headBytes {
		return p, false
	}
	p = packet{
		flags: b[0], echo: le.Uint32(b[2:]), seq: le.Uint32(b[6:]), ack: le.Uint32(b[10:]),
		dst: netip.AddrPortFrom(ip(b[20:]), le.Uint16(b[24:])), src: netip.AddrPortFrom(ip(b[28:]), le.Uint16(b[26:])),
		data: append([]byte(nil), b[headBytes:]...),
	}
	got := le.Uint32(b[14:])
	p.isSound = got == sum(b)
	p.isOwnReset = len(b) == headBytes && p.flags == flagRST && got == 0
	return p, true
}

// sum covers all fields but echo, pad and the sum.
func sum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[1] = 0
	clear(c[2:6])
	clear(c[14:18])
	return crc32.ChecksumIEEE(c) ^ sumKey
}

func ip(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

func putIP(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}
