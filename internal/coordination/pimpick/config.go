package pimpick

import "time"

// Config holds the constants of the choice of a backend server.
type Config struct {
	// SlowStart is the time over which a cold host reaches its full part of new flows.
	SlowStart time.Duration
	// ReportHalfLife is the age at which a reported count has lost half of its weight.
	ReportHalfLife time.Duration
	// PlacedHalfLife is the time in which the count of own placed flows halves.
	PlacedHalfLife time.Duration
	// FailuresToEject is the number of consecutive failures that ejects a host.
	FailuresToEject int
	// EjectBase and EjectMax bound the exponential ejection time.
	EjectBase, EjectMax time.Duration
	// Peers is the number of VMs that place flows on the same hosts.
	Peers int
}

// DefaultConfig returns the constants of the design page for a data centre with the given number of VMs.
func DefaultConfig(peers int) Config {
	return Config{
		SlowStart:       10 * time.Second,
		ReportHalfLife:  5 * time.Second,
		PlacedHalfLife:  30 * time.Second,
		FailuresToEject: 5,
		EjectBase:       time.Second,
		EjectMax:        time.Minute,
		Peers:           max(peers, 1),
	}
}
