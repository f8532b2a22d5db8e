package pimpick

import "time"

// Config holds the parameters for the choice of a backend server.
type Config struct {
	// SlowStart is the time after which a cold host receives its full share of new flows.
	SlowStart time.Duration
	// ReportHalfLife is the age at which a reported connection count has lost half of its weight.
	ReportHalfLife time.Duration
	// PlacedHalfLife is the time in which the count of the flows placed by this VM halves.
	PlacedHalfLife time.Duration
	// FailuresToEject is the number of consecutive failures after which a host is ejected.
	FailuresToEject int
	// EjectBase is the first ejection time, which doubles with each further ejection up to EjectMax.
	EjectBase, EjectMax time.Duration
	// Peers is the number of VMs that place flows on the same hosts.
	Peers int
}

// DefaultConfig returns the parameters of docs/design.md for a data centre with the given number of VMs.
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
