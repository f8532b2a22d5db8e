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
	// Open asks for a new flow.
	Open Flags = 1 << iota
	// Ack says that the acknowledgement number is valid.
	Ack
	// Close says that the sender has sent everything.
	Close
	// Reset says that the flow has ended.
	Reset
)

// Has reports whether all given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Sequence numbers the bytes of one direction of a flow; it wraps around.
type Sequence uint32

// After returns the number of bytes from t to s, negative if s is earlier.
func (s Sequence) After(t Sequence) int32 { return int32(s - t) }

// Flow identifies a flow by the address of its caller and the published address.
type Flow struct {
	Caller, Destination netip.AddrPort
}

// Packet is what is known of one packet of a caller.
type Packet struct {
	Flow  Flow
	Flags Flags
	// Tag is the value of the last packet of a backend server that the caller received.
	Tag pimcatalog.Tag
	// Seq numbers the first byte of the data and Acked the next byte that the caller expects.
	Seq, Acked Sequence
	// Attempt counts the copies of an opening packet.
	Attempt int
	// Data is the number of bytes of data.
	Data int
}

// IsOpen reports whether the packet asks for a new flow.
func (p *Packet) IsOpen() bool { return p.Flags.Has(Open) && !p.Flags.Has(Ack) }

// The faults of a packet.
var (
	// ErrLength means that a datagram is shorter than the header, or that its length does not match that of its data.
	ErrLength = errors.New("packet is truncated")
	// ErrNotFromCaller means that a packet is one that only backend servers send.
	ErrNotFromCaller = errors.New("packet is not one of a caller")
)

// Codec reads and writes the packets of one platform.
type Codec interface {
	// Decode reads the header of a datagram; the error is ErrLength or ErrNotFromCaller.
	Decode(datagram []byte) (Packet, error)
	// SetTag writes the tag into an opening packet.
	SetTag(datagram []byte, tag pimcatalog.Tag)
	// AppendHostID appends the prefix by which a backend server recognises its datagrams.
	AppendHostID(dst []byte, id pimcatalog.HostID) []byte
	// AppendReset appends a packet that ends the flow of p at its caller.
	AppendReset(dst []byte, p *Packet) []byte
}
