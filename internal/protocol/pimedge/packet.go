package pimedge

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Kind tells whether a packet belongs to a flow, or which kind of request it is.
type Kind uint8

// The kinds of packets.
const (
	// KindFlow opens or refreshes a long-lived flow, or carries its data.
	KindFlow Kind = iota + 1
	// KindPost is a non-idempotent request.
	KindPost
	// KindGet is an idempotent request.
	KindGet
)

// Packet is one decoded datagram of a caller.
type Packet struct {
	Kind Kind
	// Observe is set if a flow packet opens or refreshes the flow (GET with Observe), and not if it carries data (PUT) or
	// ends the flow (GET with Observe 1).
	Observe bool
	// Hops is how often the packet has been relayed from VM to VM; zero for a datagram received from a caller.
	Hops uint8
	// Contract is the contract that the relaying VM determined from the source; it is used only if Hops is not zero.
	Contract pimid.ContractID
	// Service is the service whose address the packet was sent to.
	Service pimid.ServiceID
	// Source is the caller's address.
	Source netip.AddrPort
	// Token is the sealed token in the Echo option; empty if the caller sent none.
	Token []byte
	// Tag is the number of the request from the Request-Tag option; HasTag reports whether the caller sent one.
	Tag    pimid.RequestTag
	HasTag bool
	// Path is the path and query for the backend server, without the parameter timeout_ms; empty for flow packets.
	Path string
	// Timeout is the time that the caller allows for the request; zero means the default of the contract.
	Timeout time.Duration
	Body    []byte
	// MessageID, CoAPToken and Confirmable identify the message that a reply answers.
	MessageID   uint16
	CoAPToken   []byte
	Confirmable bool
	// Raw is the datagram as received; flow packets are forwarded unchanged.
	Raw []byte
}
