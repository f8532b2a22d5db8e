package pimpacket

import (
	"errors"
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Flags are the control bits of a packet.
type Flags uint8

// The control bits.
const (
	// Open requests a new flow.
	Open Flags = 1 << iota
	// Ack means that the acknowledgement number is valid.
	Ack
	// Close means that the sender has sent all its data.
	Close
	// Reset means that the flow has ended.
	Reset
)

// Has reports whether all given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Sequence is the number of a byte in one direction of a flow; it wraps around.
type Sequence uint32

// After returns the number of bytes from t to s, negative if s is earlier.
func (s Sequence) After(t Sequence) int32 { return int32(s - t) }

// Flow identifies a flow by the address of its caller and its destination, which is a published address.
type Flow struct {
	Caller, Destination netip.AddrPort
}

// Packet contains the decoded header fields of one packet of a caller.
type Packet struct {
	Flow  Flow
	Flags Flags
	// Tag is the tag in the last packet that the caller received from a backend server; see pimcatalog.Tag.
	Tag pimcatalog.Tag
	// Seq is the number of the first byte of the data, and Acked that of the next byte that the caller expects.
	Seq, Acked Sequence
	// Attempt is the number of times that the caller has sent the opening packet before; zero in other packets.
	Attempt int
	// Data is the length of the data in bytes.
	Data int
}

// IsOpen reports whether the packet requests a new flow.
func (p *Packet) IsOpen() bool { return p.Flags.Has(Open) && !p.Flags.Has(Ack) }

// The errors of Codec.Decode.
var (
	// ErrLength means that a datagram is shorter than the header, or that its length does not match the length
	// field in the header.
	ErrLength = errors.New("length of the datagram does not match the packet")
	// ErrNotFromCaller means that a packet is of a type that only backend servers send.
	ErrNotFromCaller = errors.New("packet is of a type that only backend servers send")
)

// Codec decodes and encodes the packets of one platform.
type Codec interface {
	// Decode decodes the header of a datagram; the error is ErrLength or ErrNotFromCaller.
	Decode(datagram []byte) (Packet, error)
	// SetTag writes the tag into an opening packet.
	SetTag(datagram []byte, tag pimcatalog.Tag)
	// AppendHostID appends the id of a backend server. It precedes each forwarded datagram, so that the backend server
	// recognises those that are meant for it.
	AppendHostID(dst []byte, id pimcatalog.HostID) []byte
	// AppendReset appends a packet that ends the flow of p at its caller.
	AppendReset(dst []byte, p *Packet) []byte
}
