package pimudp

import (
	"errors"
	"net"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/samber/oops"
)

// The errors of the encapsulation codec.
var (
	// ErrNotIPv4 means that an inner address is not IPv4.
	ErrNotIPv4 = errors.New("inner address is not IPv4")
	// ErrInnerTooLarge means that the inner packet does not fit into one outer datagram.
	ErrInnerTooLarge = errors.New("inner packet too large")
	// ErrInnerMalformed means that the datagram holds no complete, unfragmented UDP packet.
	ErrInnerMalformed = errors.New("malformed inner packet")
)

const (
	ipv4HeaderSize = 20
	udpHeaderSize  = 8
	// maxDatagram is the largest payload of an IPv4 UDP datagram in bytes.
	maxDatagram = 65_507
	// MaxInnerPayload is the largest payload in bytes that can be encapsulated.
	MaxInnerPayload = maxDatagram - ipv4HeaderSize - udpHeaderSize
	innerTTL        = 64
)

// Encapsulator builds inner packets in one reused buffer; it is not safe for concurrent use.
type Encapsulator struct {
	buf gopacket.SerializeBuffer
	ip  layers.IPv4
	udp layers.UDP
	src [4]byte
	dst [4]byte
}

// NewEncapsulator returns an encapsulator.
func NewEncapsulator() *Encapsulator {
	return &Encapsulator{buf: gopacket.NewSerializeBuffer()}
}

// Encapsulate returns an IPv4 UDP packet from src to dst that is valid until the next call.
// It returns ErrNotIPv4 or ErrInnerTooLarge.
func (e *Encapsulator) Encapsulate(src, dst netip.AddrPort, payload []byte) (packet []byte, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "encapsulate")
		}
	}()
	if err = e.setAddresses(src, dst); err != nil {
		return nil, err
	}
	if len(payload) > MaxInnerPayload {
		return nil, ErrInnerTooLarge
	}
	if err = e.serialize(payload); err != nil {
		return nil, err
	}
	return e.buf.Bytes(), nil
}

func (e *Encapsulator) setAddresses(src, dst netip.AddrPort) error {
	srcAddr, dstAddr := src.Addr().Unmap(), dst.Addr().Unmap()
	if !srcAddr.Is4() || !dstAddr.Is4() {
		return ErrNotIPv4
	}
	e.src, e.dst = srcAddr.As4(), dstAddr.As4()
	e.ip = layers.IPv4{
		Version:  4,
		TTL:      innerTTL,
		Protocol: layers.IPProtocolUDP,
		SrcIP:    net.IP(e.src[:]),
		DstIP:    net.IP(e.dst[:]),
	}
	e.udp.SrcPort, e.udp.DstPort = layers.UDPPort(src.Port()), layers.UDPPort(dst.Port())
	return e.udp.SetNetworkLayerForChecksum(&e.ip)
}

func (e *Encapsulator) serialize(payload []byte) error {
	if err := e.buf.Clear(); err != nil {
		return err
	}
	space, err := e.buf.AppendBytes(len(payload))
	if err != nil {
		return err
	}
	copy(space, payload)
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err = e.udp.SerializeTo(e.buf, opts); err != nil {
		return err
	}
	return e.ip.SerializeTo(e.buf, opts)
}
