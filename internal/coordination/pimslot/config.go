package pimslot

import "time"

// Config holds the constants of a slot owner.
type Config struct {
	// MaxQueue is the largest number of waiting requests of one contract.
	MaxQueue int
	// MaxQueued is the largest number of waiting requests of all contracts. A contract with fewer than MinQueue waiting
	// requests may exceed it, so that floods of some contracts do not close the queues of the others.
	MaxQueued, MinQueue int
	// ShareCredit is the time over which an unused fraction of a guaranteed slot can be used later. Requests reach an
	// owner unevenly, so without credit a contract would lose part of its guarantee.
	ShareCredit time.Duration
	// GrantGrace is added to the deadline to obtain the expiry of a grant.
	GrantGrace time.Duration
	// SlowStart is the time over which a cold host reaches its full slots.
	SlowStart time.Duration
	// InitialDuration is the assumed request duration before any was observed.
	InitialDuration time.Duration
	// FailuresToEject is the number of consecutive failures that ejects a host.
	FailuresToEject int
	// EjectBase and EjectMax bound the exponential ejection time.
	EjectBase, EjectMax time.Duration
	// InheritedHold is how long reported slots of a previous owner stay occupied without confirmation.
	InheritedHold time.Duration
	// ShedHold is how long a 503 without Retry-After occupies one slot.
	ShedHold time.Duration
	// MaxRetryAfter bounds the retry time in refusals.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the constants of the design page.
func DefaultConfig() Config {
	return Config{
		MaxQueue:        256,
		MaxQueued:       4096,
		MinQueue:        8,
		ShareCredit:     500 * time.Millisecond,
		GrantGrace:      time.Second,
		SlowStart:       10 * time.Second,
		InitialDuration: 50 * time.Millisecond,
		FailuresToEject: 5,
		EjectBase:       time.Second,
		EjectMax:        time.Minute,
		InheritedHold:   5 * time.Second,
		ShedHold:        250 * time.Millisecond,
		MaxRetryAfter:   30 * time.Second,
	}
}
