package pimmesh

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Message is one datagram; exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Pull      *Pull      `cbor:"2,keyasint,omitempty"`
	Chunk     *Chunk     `cbor:"3,keyasint,omitempty"`
}

// Heartbeat tells what a VM knows and sees.
type Heartbeat struct {
	// Name is the name of the VM, Address where it receives messages.
	Name       string           `cbor:"1,keyasint"`
	DataCentre pimid.DataCentre `cbor:"2,keyasint"`
	Address    netip.AddrPort   `cbor:"3,keyasint"`
	Revision   pimid.Revision   `cbor:"4,keyasint"`
	// Age is the time since the platform was known to have nothing newer.
	Age time.Duration `cbor:"5,keyasint"`
	// Claim is the news that a VM of the data centre reads the platform.
	Claim *Claim `cbor:"6,keyasint,omitempty"`
	// Hello asks for an answer, since the sender knows nobody in its data centre.
	Hello bool       `cbor:"7,keyasint,omitempty"`
	Loads []HostLoad `cbor:"8,keyasint,omitempty"`
	// Peers are some VMs of the receiver's data centre.
	Peers []PeerAddress `cbor:"9,keyasint,omitempty"`
	// Leaving is set by a VM that stops.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// SentAt is the time of the sender's clock, and Incarnation identifies the process run of the sender. With them, the
	// receiver tells a delayed heartbeat from a prompt one although the clocks of the two VMs are unrelated.
	SentAt      time.Duration `cbor:"11,keyasint"`
	Incarnation uint64        `cbor:"12,keyasint"`
	// Base is the oldest revision since which the sender can tell the changes.
	Base pimid.Revision `cbor:"13,keyasint,omitempty"`
}

// Claim says that a VM reads the platform.
type Claim struct {
	// Hash identifies and ranks the VM, Age is the time since it said so.
	Hash uint64        `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
}

// PeerAddress names a VM.
type PeerAddress struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
}

// HostLoad is what a VM sees of one backend server.
type HostLoad struct {
	ID pimcatalog.HostID `cbor:"1,keyasint"`
	// Busy is the mean number of running requests since the last beat, in hundredths.
	Busy int `cbor:"2,keyasint,omitempty"`
	Open int `cbor:"3,keyasint,omitempty"`
	// SilentFor is the time since its last sign of life.
	SilentFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// Pull asks for all changes after a revision.
type Pull struct {
	Since pimid.Revision `cbor:"1,keyasint"`
	// Base is the revision of the asker's last complete list, Config that of its configuration.
	Base   pimid.Revision `cbor:"2,keyasint,omitempty"`
	Config pimid.Revision `cbor:"3,keyasint,omitempty"`
}

// Chunk is a part of an encoded delta that does not fit one datagram.
type Chunk struct {
	From  pimid.Revision `cbor:"1,keyasint"`
	To    pimid.Revision `cbor:"2,keyasint"`
	Index int            `cbor:"3,keyasint,omitempty"`
	Count int            `cbor:"4,keyasint"`
	Data  []byte         `cbor:"5,keyasint"`
	// Sum is a hash of the whole delta, since two encodings of the same changes may differ.
	Sum uint64 `cbor:"6,keyasint"`
}

// ErrMessage means that a datagram holds no message.
var ErrMessage = errors.New("datagram holds no message")

// MaxChunk is the largest size of the data of a chunk, so that it fits a sealed datagram.
const MaxChunk = 1200

// limits keep a forged or damaged message from using memory.
const (
	maxArray = 1 << 16
	maxDepth = 12
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArray, MaxMapPairs: maxArray, MaxNestedLevels: maxDepth}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the bytes of a value.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads a value; the error is ErrMessage.
func Decode(data []byte, v any) (err error) {
	defer func() { err = oops.In("pimmesh").Wrap(err) }()
	if err = decoder.Unmarshal(data, v); err != nil {
		return errors.Join(ErrMessage, err)
	}
	return nil
}
