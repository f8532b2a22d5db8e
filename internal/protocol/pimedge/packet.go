package pimedge

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Kind is the kind of work that a packet asks for.
type Kind uint8

// The kinds of work.
const (
	// KindFlow opens, refreshes or feeds a long flow.
	KindFlow Kind = iota + 1
	// KindPost is a non-idempotent request.
	KindPost
	// KindGet is an idempotent request.
	KindGet
)

// Packet is one decoded datagram of a caller.
type Packet struct {
	Kind Kind
	// Observe reports whether a flow packet opens or refreshes the flow (GET with Observe) instead of feeding it (PUT).
	Observe bool
	// Hops is the number of relays between VMs so far; zero for a datagram that came from a caller.
	Hops uint8
	// Contract is the contract that the relaying VM found for the source; it is only read if Hops is not zero.
	Contract pimid.ContractID
	// Service is the service whose address the packet was sent to.
	Service pimid.ServiceID
	// Source is the caller's address.
	Source netip.AddrPort
	// Token is the sealed token in the Echo option; empty if the caller sent none.
	Token []byte
	// Tag is the request number; HasTag reports whether the caller sent one.
	Tag    pimid.RequestTag
	HasTag bool
	// Path is the path and query for the backend server, without the timeout; empty for flow packets.
	Path string
	// Timeout is the time that the caller allows; zero means the default of the contract.
	Timeout time.Duration
	Body    []byte
	// MessageID, CoAPToken and Confirmable identify the message that a reply answers.
	MessageID   uint16
	CoAPToken   []byte
	Confirmable bool
	// Raw is the datagram as received; flow packets are forwarded unchanged.
	Raw []byte
}
