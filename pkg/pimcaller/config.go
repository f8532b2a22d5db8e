package pimcaller

import (
	crand "crypto/rand"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config holds the settings of a caller.
type Config struct {
	// Service is the published address of the service.
	Service netip.AddrPort
	// Local is the local address; the zero value lets the system choose.
	Local netip.AddrPort
	// Timeout is the deadline of a request whose context has none.
	Timeout time.Duration
	// AckTimeout is the time until the first retransmission of a datagram; it doubles with each one.
	AckTimeout time.Duration
	// MaxAckTimeout bounds the time between retransmissions.
	MaxAckTimeout time.Duration
	// TokenMaxAge is the age at which a token for requests is replaced; it must be below the 300 s for which a token
	// permits POST requests (pimtoken.PermitLifetime).
	TokenMaxAge time.Duration
	// Refresh is the mean time between refreshes of a flow; a refresh is a further opening message (GET with Observe)
	// and keeps the flow open.
	Refresh time.Duration
	// SilenceTimeout is the time without a message of the backend server after which a flow counts as broken; the
	// default is three times Refresh.
	SilenceTimeout time.Duration
	// Rand chooses CoAP tokens, message ids, request tags and the jitter of retransmissions and refreshes; nil means a
	// generator with a random seed.
	Rand *rand.Rand
}

const (
	defaultTimeout       = 10 * time.Second
	defaultAckTimeout    = time.Second
	defaultMaxAckTimeout = 4 * time.Second
	defaultTokenMaxAge   = 120 * time.Second
	defaultRefresh       = 30 * time.Second
	// defaultSilenceIntervals is the default of SilenceTimeout as a multiple of Refresh.
	defaultSilenceIntervals = 3
)

func (c Config) withDefaults() Config {
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.AckTimeout, defaultAckTimeout)
	setDefault(&c.MaxAckTimeout, defaultMaxAckTimeout)
	setDefault(&c.TokenMaxAge, defaultTokenMaxAge)
	setDefault(&c.Refresh, defaultRefresh)
	setDefault(&c.SilenceTimeout, defaultSilenceIntervals*c.Refresh)
	if c.Rand == nil {
		var seed [32]byte
		_, _ = crand.Read(seed[:])
		c.Rand = rand.New(rand.NewChaCha8(seed))
	}
	return c
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
