//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The layout of a packet as the pages give it.
const (
	headerBytes = 32

	flagFIN = 1
	flagACK = 8
	flagSYN = 16
	flagRST = 128
)

// sumKey is the key of the checksums, which the system under test does not know.
const sumKey = 0x2b992ddf

// packet is one packet of a requester or a backend server.
type packet struct {
	flags    byte
	echo     uint32
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint32(b[2:], p.echo)
	binary.LittleEndian.PutUint32(b[6:], p.seq)
	binary.LittleEndian.PutUint32(b[10:], p.ack)
	binary.LittleEndian.PutUint16(b[18:], uint16(len(p.data)))
	putAddr(b[20:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[24:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[26:], p.src.Port())
	putAddr(b[28:], p.src.Addr())
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[14:], checksum(b))
	return b
}

// decode decodes a packet; isWhole is false if its checksum is not that of a requester or backend server.
func decode(b []byte) (p packet, isWhole bool) {
	if len(b) < headerBytes {
		return p, false
	}
	p = packet{
		flags: b[0], echo: binary.LittleEndian.Uint32(b[2:]),
		seq: binary.LittleEndian.Uint32(b[6:]), ack: binary.LittleEndian.Uint32(b[10:]),
		dst:  netip.AddrPortFrom(addr(b[20:]), binary.LittleEndian.Uint16(b[24:])),
		src:  netip.AddrPortFrom(addr(b[28:]), binary.LittleEndian.Uint16(b[26:])),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, binary.LittleEndian.Uint32(b[14:]) == checksum(b)
}

// checksum covers all fields but echo, pad and the checksum itself.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[1] = 0
	clear(c[2:6])
	clear(c[14:18])
	return crc32.ChecksumIEEE(c) ^ sumKey
}

func addr(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}
