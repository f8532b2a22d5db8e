package pimudp

import (
	"encoding/binary"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/samber/oops"
)

// Inner is a decapsulated packet; Payload is a part of the decoded datagram and not a copy.
type Inner struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Payload     []byte
}

// Decapsulator decodes encapsulated packets; it is not safe for concurrent use.
type Decapsulator struct {
	ip  layers.IPv4
	udp layers.UDP
}

// Decapsulate decodes one encapsulated packet and verifies its lengths and checksums; it returns ErrInnerMalformed.
func (d *Decapsulator) Decapsulate(datagram []byte) (inner Inner, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "decapsulate")
		}
	}()
	if err = d.decodeIP(datagram); err != nil {
		return Inner{}, err
	}
	segment := d.ip.LayerPayload()
	if err = d.udp.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil {
		return Inner{}, ErrInnerMalformed
	}
	if int(d.udp.Length) != len(segment) || !d.udpChecksumOK(segment) {
		return Inner{}, ErrInnerMalformed
	}
	src, _ := netip.AddrFromSlice(d.ip.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ip.DstIP)
	return Inner{
		Source:      netip.AddrPortFrom(src, uint16(d.udp.SrcPort)),
		Destination: netip.AddrPortFrom(dst, uint16(d.udp.DstPort)),
		Payload:     d.udp.LayerPayload(),
	}, nil
}

func (d *Decapsulator) decodeIP(datagram []byte) error {
	if len(datagram) < ipv4HeaderSize || datagram[0]>>4 != 4 {
		return ErrInnerMalformed
	}
	if err := d.ip.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
		return ErrInnerMalformed
	}
	fragmented := d.ip.Flags&layers.IPv4MoreFragments != 0 || d.ip.FragOffset != 0
	headerLen := int(d.ip.IHL) * 4
	if d.ip.Protocol != layers.IPProtocolUDP || fragmented || int(d.ip.Length) != len(datagram) {
		return ErrInnerMalformed
	}
	if headerLen > len(datagram) || checksum(0, datagram[:headerLen]) != 0 {
		return ErrInnerMalformed
	}
	return nil
}

// udpChecksumOK accepts a zero checksum, which means that the sender computed none (RFC 768).
func (d *Decapsulator) udpChecksumOK(segment []byte) bool {
	if d.udp.Checksum == 0 {
		return true
	}
	var pseudo [12]byte
	copy(pseudo[0:4], d.ip.SrcIP.To4())
	copy(pseudo[4:8], d.ip.DstIP.To4())
	pseudo[9] = byte(layers.IPProtocolUDP)
	binary.BigEndian.PutUint16(pseudo[10:], uint16(len(segment)))
	return checksum(sum(0, pseudo[:]), segment) == 0
}

// checksum returns the internet checksum (RFC 1071) of data with a partial sum added. It is computed here because
// gopacket does not verify checksums when it decodes.
func checksum(partial uint32, data []byte) uint16 {
	s := sum(partial, data)
	for s > 0xffff {
		s = s>>16 + s&0xffff
	}
	return ^uint16(s)
}

func sum(partial uint32, data []byte) uint32 {
	for len(data) >= 2 {
		partial += uint32(data[0])<<8 | uint32(data[1])
		data = data[2:]
	}
	if len(data) == 1 {
		partial += uint32(data[0]) << 8
	}
	return partial
}
