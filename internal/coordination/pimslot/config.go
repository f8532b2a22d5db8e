package pimslot

import "time"

// Config holds the limits and times of a slot owner, the VM that grants the slots of a backend server.
type Config struct {
	// MaxQueue is the largest number of waiting requests of one contract.
	MaxQueue int
	// MaxQueued is the largest number of waiting requests of all contracts. A contract with fewer than MinQueue waiting
	// requests may exceed it, so that floods of some contracts do not close the queues of the others.
	MaxQueued, MinQueue int
	// ShareCredit is the longest time for which a contract can save up the fractional part of its guaranteed slots while
	// it does not use it. Requests reach an owner unevenly, so without credit a contract would lose part of its guarantee.
	ShareCredit time.Duration
	// GrantGrace is the time between the deadline of a request and the expiry of its grant.
	GrantGrace time.Duration
	// SlowStart is the time in which a cold host reaches its full number of slots.
	SlowStart time.Duration
	// InitialDuration is the assumed duration of a request until one has been observed.
	InitialDuration time.Duration
	// FailuresToEject is the number of consecutive failures that ejects a host.
	FailuresToEject int
	// EjectBase is the time of the first ejection; each further one in a row lasts twice as long, up to EjectMax.
	EjectBase, EjectMax time.Duration
	// InheritedHold is how long the slots that a previous owner granted, as many as the backend server reports at the
	// takeover, count as occupied at this VM; later load reports only lower their number.
	InheritedHold time.Duration
	// ShedHold is how long a 503 without Retry-After, or with a shorter one, takes one slot out of use; each further 503
	// in a row doubles it, up to EjectMax.
	ShedHold time.Duration
	// MaxRetryAfter is the longest retry time in a refusal and the longest estimated wait that is reported.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the constants of the design in docs/design.md.
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
