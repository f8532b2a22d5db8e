package standcaller

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"
)

// Config holds the settings of a run.
type Config struct {
	// Service is the published address of the service.
	Service netip.AddrPort
	// Local is the local IP address, which selects the contract; the zero value lets the system choose.
	Local netip.Addr
	// Flows is the number of flows to open.
	Flows int
	// Rate is the number of requests per second; they are sent on schedule whether or not earlier ones were answered.
	Rate float64
	// Duration is the length of the run.
	Duration time.Duration
	// PostShare is the fraction of requests that are non-idempotent, from 0 to 1.
	PostShare float64
	// Path is the path of requests and flows.
	Path string
	// BodyBytes is the length of the body of a POST request, and AnswerBytes the least length of an answer.
	BodyBytes   int
	AnswerBytes int
	// Timeout is the deadline of a request.
	Timeout time.Duration
	// Refresh is the time between refreshes of a flow.
	Refresh time.Duration
	// SilenceTimeout is the time without a message of the backend server after which a flow counts as broken.
	SilenceTimeout time.Duration
	// AckTimeout is the time until the first retransmission of a datagram.
	AckTimeout time.Duration
	// OpenLimit bounds the number of flows that are being opened concurrently.
	OpenLimit int
	// Prefix makes the request ids of this run unique among several callers.
	Prefix string
	// Seed seeds all random choices and is part of the request ids.
	Seed uint64
	Log  zerolog.Logger
}

const (
	defaultPath      = "/items"
	defaultTimeout   = 2 * time.Second
	defaultOpenLimit = 64
)

func (c Config) withDefaults() Config {
	if c.Path == "" {
		c.Path = defaultPath
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.OpenLimit <= 0 {
		c.OpenLimit = defaultOpenLimit
	}
	return c
}
