package pimsoak

import (
	"time"

	"github.com/rs/zerolog"
)

// Config contains the settings of one run.
type Config struct {
	Seed uint64
	// Length is the duration of the phase with faults; the load goes on for a while after it.
	Length time.Duration
	VMs    int
	// HostsPerService is the number of backend servers of each of two services.
	HostsPerService int
	// Callers is the number of callers; each has its own address, keeps one long flow open and opens short flows.
	Callers int
	// Binary is the path of the program under test; settings files and logs are written to Directory.
	Binary, Directory string
	// Network selects the loopback addresses 127.NETWORK.x.y.
	Network byte
	// Spray lets the fabric deliver each packet of a flow to a random VM (packet spraying).
	Spray bool
	// Faults are the kinds of faults to inject, see FaultNames; nil means all, or all of PlannedFaults.
	Faults []string
	// Planned lets only planned work happen, so that VMs may reset no flow whose backend server lives.
	Planned bool
	Log     zerolog.Logger
}

const (
	// calmAfter is the time after the start or end of a fault during which VMs may still reset flows.
	calmAfter = 4 * time.Second
	// stateTimeout limits each wait for a state. It is generous, since only reaching the state counts, not how fast.
	stateTimeout = 60 * time.Second
)
