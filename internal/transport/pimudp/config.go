package pimudp

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Service describes the socket of one service.
type Service struct {
	ID pimid.ServiceID
	// Listen is the local address of the socket.
	Listen netip.AddrPort
	// Address is the published address of the service; it becomes the inner destination of forwarded packets.
	Address netip.AddrPort
}

// Responder replies to one packet or forwards it; it is safe for concurrent use.
type Responder interface {
	pimedge.Responder
	// Forward sends the packet to the flow address of a backend server.
	Forward(pkt *pimedge.Packet, flowAddress netip.AddrPort) error
	// Retain returns a responder for use after the handler has returned.
	Retain() Responder
}

// Handler handles one packet. For a flow packet it is called in the read loop, so it must not block; packet and
// responder are valid until it returns, and Packet.Clone and Responder.Retain return copies for later use. For a
// request it is called in a separate goroutine, and packet and responder stay valid.
type Handler func(ctx context.Context, pkt *pimedge.Packet, r Responder)

// Config holds the settings of a server.
type Config struct {
	Services []Service
	Handler  Handler
	// Overload returns the reply to a request beyond MaxRequests; it may count the refusal. It is not called for a POST
	// with a token, which is dropped without a reply. Nil means a default refusal.
	Overload func(pkt *pimedge.Packet) pimedge.Reply
	// ReadLoops is the number of read loops per socket.
	ReadLoops int
	// MaxRequests is the largest number of requests that are handled at the same time.
	MaxRequests int
	// ReceiveBuffer is the size of the receive buffer of each socket in bytes.
	ReceiveBuffer int
	Log           zerolog.Logger
}

const (
	defaultReadLoops     = 2
	defaultMaxRequests   = 10_000
	defaultReceiveBuffer = 4 << 20
	// overloadRetry is the time after which a refused caller may try again.
	overloadRetry = time.Second
)

func (c Config) withDefaults() Config {
	if c.ReadLoops <= 0 {
		c.ReadLoops = defaultReadLoops
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = defaultMaxRequests
	}
	if c.ReceiveBuffer <= 0 {
		c.ReceiveBuffer = defaultReceiveBuffer
	}
	if c.Overload == nil {
		c.Overload = refuseOverload
	}
	return c
}

// refuseOverload is the default of Config.Overload.
func refuseOverload(*pimedge.Packet) pimedge.Reply {
	return pimedge.Reply{
		Outcome:    pimedge.OutcomeNotRun,
		Reason:     pimedge.ReasonOverload,
		RetryAfter: overloadRetry,
	}
}
