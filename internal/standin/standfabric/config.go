package standfabric

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Route is the configuration of one service: its published address and the port on the VMs.
type Route struct {
	Service pimid.ServiceID
	// Listen is the address that callers send to.
	Listen netip.AddrPort
	// EdgePort is the port on which every VM serves the service; zero means the port of Listen.
	EdgePort uint16
}

// Config holds the settings of a stand-in fabric.
type Config struct {
	Routes []Route
	// VMs are the addresses of the VMs until the list has been polled.
	VMs []netip.Addr
	// Targets holds the addresses on which the VMs serve a single service; for such a service they replace VMs.
	Targets map[pimid.ServiceID][]netip.AddrPort
	// ListURL is the URL of GET /v1/vms of the platform; empty means that VMs is not replaced.
	ListURL string
	// PollInterval is the time between polls of the list.
	PollInterval time.Duration
	Impairment   Impairment
	// Seed seeds the random choice of VMs and the impairments.
	Seed uint64
	Log  zerolog.Logger
}

// Impairment describes faults of the network; they apply in each direction.
type Impairment struct {
	// Loss and Duplication are probabilities from 0 to 1; Duplication is that of a datagram that is not lost.
	Loss        float64
	Duplication float64
	// MaxDelay bounds the delay of a datagram, which is uniformly distributed; unequal delays reorder datagrams.
	MaxDelay time.Duration
}

const defaultPollInterval = 500 * time.Millisecond

func (c Config) withDefaults() Config {
	if c.PollInterval <= 0 {
		c.PollInterval = defaultPollInterval
	}
	return c
}
