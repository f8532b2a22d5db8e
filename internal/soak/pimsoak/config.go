package pimsoak

import (
	"time"

	"github.com/rs/zerolog"
)

// Config describes one run.
type Config struct {
	Seed uint64
	// Length is the time with faults; a calm phase follows.
	Length time.Duration
	VMs    int
	// HostsPerService is the number of backend servers of each of two services.
	HostsPerService int
	// Callers is the number of addresses, each of which has a kept flow and opens short ones.
	Callers int
	// Binary is the program under test and Directory holds settings and logs.
	Binary, Directory string
	// Network selects the loopback addresses 127.NETWORK.x.y.
	Network byte
	// Spray lets the fabric hand any packet of a flow to any VM.
	Spray bool
	// Faults are the kinds to inject; nil means all.
	Faults []string
	Log    zerolog.Logger
}

const (
	// calmAfter is the time after a fault before bounds hold again.
	calmAfter = 4 * time.Second
	// stateTimeout bounds the wait for a state at the end; no verdict depends on how long it takes within it.
	stateTimeout = 60 * time.Second
)
