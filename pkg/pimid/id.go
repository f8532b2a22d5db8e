package pimid

import "strconv"

// ServiceID identifies one published service address.
type ServiceID uint16

// ContractID identifies one contract.
type ContractID uint16

// BackendID identifies one backend server; the platform never assigns an id twice.
type BackendID uint32

// Generation numbers the runs of one backend server; it changes when the backend server restarts.
type Generation uint16

// NodeID identifies one VM of the fleet.
type NodeID uint16

// Incarnation identifies one run of one VM: 48 bits of start time in unix milliseconds, then 16 random bits.
type Incarnation uint64

// FlowID identifies one flow; only the low 48 bits are used.
type FlowID uint64

// RequestTag identifies a request under one token; the caller chooses it.
type RequestTag uint64

// DataCentre is the name of a data centre.
type DataCentre string

// Customer is the name of the party to a contract.
type Customer string

// FlowIDMask selects the bits of a FlowID that are used on the wire.
const FlowIDMask FlowID = 1<<48 - 1

const (
	incarnationRandomBits = 16
	incarnationRandomMask = 1<<incarnationRandomBits - 1
)

// NewIncarnation builds an incarnation from the start time in unix milliseconds and a random number.
func NewIncarnation(startUnixMilli int64, random uint64) Incarnation {
	return Incarnation(uint64(startUnixMilli)<<incarnationRandomBits | random&incarnationRandomMask)
}

// String formats the id in decimal.
func (id NodeID) String() string { return strconv.FormatUint(uint64(id), 10) }

// String formats the id in decimal.
func (id ServiceID) String() string { return strconv.FormatUint(uint64(id), 10) }

// String formats the id in decimal.
func (id ContractID) String() string { return strconv.FormatUint(uint64(id), 10) }

// String formats the id in decimal.
func (id BackendID) String() string { return strconv.FormatUint(uint64(id), 10) }

// String formats the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 16) }

// String formats the id in hexadecimal.
func (id FlowID) String() string { return strconv.FormatUint(uint64(id), 16) }
