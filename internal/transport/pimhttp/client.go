package pimhttp

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Config holds the settings of a client.
type Config struct {
	Clock pimclock.Clock
	// HostHeader returns the Host header for a service, so that a server that took over the address of a server of
	// another service can refuse the request with 421; nil or an empty name means the address.
	HostHeader func(pimid.ServiceID) string
	// DialTimeout limits the setup of a connection.
	DialTimeout time.Duration
	// StallTimeout is the time without a received byte after which a connection counts as stalled; it is closed if a
	// health request on a new connection succeeds.
	StallTimeout time.Duration
	// ProbeTimeout limits a health request and a load request each.
	ProbeTimeout time.Duration
	// IdlePerHost is the number of idle connections kept per backend server.
	IdlePerHost int
	// IdleTimeout is the time after which an idle connection is closed. A connection may go silent while it is idle, which shows only
	// after a request was sent on it, and a POST cannot be sent again.
	IdleTimeout time.Duration
}

const (
	defaultDialTimeout  = time.Second
	defaultStallTimeout = 2 * time.Second
	defaultProbeTimeout = time.Second
	defaultIdlePerHost  = 16
	defaultIdleTimeout  = time.Second
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = pimclock.Boot{}
	}
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.ProbeTimeout, defaultProbeTimeout)
	setDefault(&c.IdlePerHost, defaultIdlePerHost)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	return c
}

func setDefault[T ~int | ~int64](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Client sends requests to backend servers; it is safe for concurrent use.
type Client struct {
	cfg      Config
	requests *http.Transport
	probes   *http.Transport
	// idPrefix and lastID number the requests; the prefix differs between clients.
	idPrefix string
	lastID   atomic.Uint64
	// repeatsIDs holds the addresses of the backend servers that repeat the number of a request.
	repeatsIDs sync.Map
}

// NewClient returns a client; the cleanup function closes its idle connections.
func NewClient(cfg Config) (c *Client, cleanup func()) {
	cfg = cfg.withDefaults()
	c = &Client{cfg: cfg, requests: newTransport(cfg), probes: newTransport(cfg)}
	c.idPrefix = strconv.FormatUint(rand.Uint64(), 16) + "-"
	// Health and load requests use new connections, since a reused one does not show whether new connections work.
	c.probes.DisableKeepAlives = true
	cleanup = func() {
		c.requests.CloseIdleConnections()
		c.probes.CloseIdleConnections()
	}
	return c, cleanup
}

func newTransport(cfg Config) *http.Transport {
	d := &dialer{clock: cfg.Clock, dialer: net.Dialer{Timeout: cfg.DialTimeout}}
	return &http.Transport{
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    cfg.IdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
