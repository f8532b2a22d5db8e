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
	Summary   *Summary   `cbor:"8,keyasint,omitempty"`
}

// Heartbeat announces a VM, the revision of its view and the loads of the backend servers that it sees.
type Heartbeat struct {
	// Name is the name of the VM, Address the address at which it receives messages.
	Name       string           `cbor:"1,keyasint"`
	DataCentre pimid.DataCentre `cbor:"2,keyasint"`
	Address    netip.AddrPort   `cbor:"3,keyasint"`
	// Revision is the revision of the sender's view.
	Revision pimid.Revision `cbor:"4,keyasint"`
	// Age is the time since the platform was known to have nothing newer.
	Age time.Duration `cbor:"5,keyasint"`
	// Claim announces the VM that reads the platform in the sender's data centre; nil if no recent claim is known.
	Claim *Claim `cbor:"6,keyasint,omitempty"`
	// Hello asks for a heartbeat in return. It is set in heartbeats to seeds and to VMs from which none arrives.
	Hello bool       `cbor:"7,keyasint,omitempty"`
	Loads []HostLoad `cbor:"8,keyasint,omitempty"`
	// Peers are some of the VMs in the receiver's data centre.
	Peers []PeerAddress `cbor:"9,keyasint,omitempty"`
	// Leaving is set if the sender is about to stop.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// SentAt is the time of the sender's clock, and Incarnation identifies the process run of the sender. With them, the
	// receiver tells a delayed heartbeat from a prompt one although the clocks of the two VMs are unrelated.
	SentAt      time.Duration `cbor:"11,keyasint"`
	Incarnation uint64        `cbor:"12,keyasint"`
	// Base is the oldest revision since which the sender can send the changes.
	Base pimid.Revision `cbor:"13,keyasint,omitempty"`
	// TakeOver asks the receiver to read the platform in place of the sender, which is about to stop.
	TakeOver bool `cbor:"14,keyasint,omitempty"`
	// Known is the number of VMs of its data centre that the sender knows, silent ones and itself included. It is zero if there may
	// be others that it does not know, and in heartbeats of earlier versions.
	Known int `cbor:"20,keyasint,omitempty"`
	// Remote holds loads of other data centres, as the sender knows them from summaries.
	Remote []ServiceLoad `cbor:"18,keyasint,omitempty"`
	// RemotePeers are some VMs of other data centres than the receiver's.
	RemotePeers []RemotePeer `cbor:"19,keyasint,omitempty"`
	// Urgent is the revision up to which the sender knows the changes of backend servers, which may be after Revision. It is zero if
	// the sender cannot send these alone.
	Urgent pimid.Revision `cbor:"15,keyasint,omitempty"`
	// Echo tells the receiver when the heartbeat was sent by its own clock; nil in heartbeats of earlier versions.
	Echo *Echo `cbor:"21,keyasint,omitempty"`
}

// Echo says how far the clock of the sender of a message is ahead of that of its receiver, at most.
type Echo struct {
	// Incarnation identifies the process run of the receiver, zero if the sender has not heard from it.
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	// Offset is the smallest difference between the clock of the sender when a message of that run arrived and the clock of the
	// receiver when it sent the message. It contains the transit time of that message.
	Offset time.Duration `cbor:"2,keyasint,omitempty"`
}

// RemotePeer is a VM of another data centre.
type RemotePeer struct {
	DataCentre pimid.DataCentre `cbor:"1,keyasint"`
	Name       string           `cbor:"2,keyasint"`
	Address    netip.AddrPort   `cbor:"3,keyasint"`
	// SilentS is the time since it was last heard from, in seconds.
	SilentS int `cbor:"4,keyasint,omitempty"`
}

// Summary is the load of the sender's data centre, for another one.
type Summary struct {
	Loads []ServiceLoad `cbor:"1,keyasint"`
	// Sender is the VM that sends the summary.
	Sender RemotePeer `cbor:"2,keyasint"`
}

// ServiceLoad is the load of the backend servers of one service in one data centre.
type ServiceLoad struct {
	DataCentre pimid.DataCentre   `cbor:"1,keyasint"`
	Service    pimcatalog.Service `cbor:"2,keyasint"`
	// Hosts is the number of backend servers, Busy the mean number of requests under way per slot, in hundredths.
	Hosts int `cbor:"3,keyasint"`
	Busy  int `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the measurement, in milliseconds.
	AgeMs int64 `cbor:"5,keyasint,omitempty"`
}

// Claim is the claim of a VM to be the reader of the platform.
type Claim struct {
	// Hash identifies the VM and ranks it among readers, Age is the time since it made the claim.
	Hash uint64        `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
}

// PeerAddress is the name and address of a VM.
type PeerAddress struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
}

// HostLoad is the load of one backend server as far as the sender sees it.
type HostLoad struct {
	ID pimcatalog.HostID `cbor:"1,keyasint"`
	// Busy is the mean number of running requests since the last heartbeat, in hundredths; Open the number of open flows.
	Busy int `cbor:"2,keyasint,omitempty"`
	Open int `cbor:"3,keyasint,omitempty"`
	// SilentFor is the time since the last sign of life of the backend server.
	SilentFor time.Duration `cbor:"4,keyasint,omitempty"`
	// Slowness is the logarithm of its answer times against the mean of its service, in hundredths, and Weight the number of
	// answers from which it was learned; zero means unknown.
	Slowness int `cbor:"5,keyasint,omitempty"`
	Weight   int `cbor:"6,keyasint,omitempty"`
	// Misses is the number of flows without an answer since the last sign of life, and MissedFor the time since the last one.
	Misses    int           `cbor:"7,keyasint,omitempty"`
	MissedFor time.Duration `cbor:"8,keyasint,omitempty"`
}

// Pull requests all changes after a revision, or further chunks of a delta.
type Pull struct {
	Since pimid.Revision `cbor:"1,keyasint"`
	// Base is the revision of the requesting VM's last complete list.
	Base pimid.Revision `cbor:"2,keyasint,omitempty"`
	// Config is the version of its configuration.
	Config pimcatalog.Version `cbor:"8,keyasint,omitempty"`
	// Sum is that of the delta whose chunks are requested, and Chunks are their indexes; zero requests a new delta.
	Sum    uint64 `cbor:"4,keyasint,omitempty"`
	Chunks []int  `cbor:"5,keyasint,omitempty"`
	// Count is the number of chunks of a new delta that are requested; zero means all.
	Count int `cbor:"6,keyasint,omitempty"`
	// Inflates is set if the requesting VM can inflate a delta.
	Inflates bool `cbor:"7,keyasint,omitempty"`
	// Urgent requests only the changes of backend servers, which are those after this revision; zero requests all changes.
	Urgent pimid.Revision `cbor:"9,keyasint,omitempty"`
}

// Chunk is a part of an encoded delta, which may not fit into one datagram. From and To are the revisions of the delta.
type Chunk struct {
	From  pimid.Revision `cbor:"1,keyasint"`
	To    pimid.Revision `cbor:"2,keyasint"`
	Index int            `cbor:"3,keyasint,omitempty"`
	Count int            `cbor:"4,keyasint"`
	Data  []byte         `cbor:"5,keyasint"`
	// Sum is a hash of the whole encoded delta. It distinguishes chunks of different encodings of the same changes.
	Sum uint64 `cbor:"6,keyasint"`
	// Deflated is set if the encoded delta was compressed with Deflate.
	Deflated bool `cbor:"7,keyasint,omitempty"`
	// Urgent is set if the delta holds only the changes of backend servers.
	Urgent bool `cbor:"8,keyasint,omitempty"`
}

// ErrMessage means that a datagram contains no valid message.
var ErrMessage = errors.New("datagram contains no valid message")

// MaxChunk is the largest size of the data of a chunk in bytes; such a chunk fits into a sealed datagram.
const MaxChunk = 1200

// The limits of the decoder: elements of an array or map, and levels of nesting. They keep a forged or damaged message
// from using much memory.
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

// Encode returns the CBOR encoding of a value.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode decodes a value; the error wraps ErrMessage.
func Decode(data []byte, v any) (err error) {
	defer func() { err = oops.In("pimmesh").Wrap(err) }()
	if err = decoder.Unmarshal(data, v); err != nil {
		return errors.Join(ErrMessage, err)
	}
	return nil
}
