package standbackend

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Config holds the settings of a stand-in backend server.
type Config struct {
	ID         pimid.BackendID
	Generation pimid.Generation
	// HTTPAddress serves requests, health, load, the records, and the endpoints that start a drain or a fault.
	HTTPAddress netip.AddrPort
	// FlowAddress receives encapsulated flow packets.
	FlowAddress netip.AddrPort
	// ServiceAddress is the published address of the service; packets for another one count as misrouted.
	// The zero value accepts any.
	ServiceAddress netip.AddrPort
	// ServiceName is the expected Host header; a request with another one is refused with 421. Empty accepts any.
	ServiceName string
	// Slots is the number of requests that run concurrently; further ones are shed with 503.
	Slots pimid.Slots
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// ColdFactor simulates a cold start: it multiplies the service time right after the start and falls linearly to 1
	// within ColdFor. A factor of at most 1 has no effect.
	ColdFactor float64
	ColdFor    time.Duration
	// RetryAfter is the Retry-After header of the reply to a shed request, rounded up to whole seconds.
	RetryAfter time.Duration
	// NotifyInterval is the time between notifications on each flow; zero sends them only in answer to a
	// packet that opens or refreshes the flow.
	NotifyInterval time.Duration
	// FlowTTL is the time without a refresh after which a flow is removed; data on the flow does not refresh it.
	FlowTTL time.Duration
	Log     zerolog.Logger
}

const (
	defaultSlots      = 2
	defaultRetryAfter = time.Second
	defaultFlowTTL    = 100 * time.Second
	// progressInterval is the time between interim responses of a running request; clients regard a connection as
	// stalled after 2 s without a received byte.
	progressInterval = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	if c.FlowTTL <= 0 {
		c.FlowTTL = defaultFlowTTL
	}
	return c
}
