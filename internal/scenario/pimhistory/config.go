package pimhistory

import "time"

// Variant names the place of deduplication.
type Variant string

// The variants.
const (
	// HomeVM deduplicates at the home VM of the token.
	HomeVM Variant = "home_vm"
	// EntryVM deduplicates at the VM that a packet reaches; it is broken on purpose to test the checker.
	EntryVM Variant = "entry_vm"
)

// Config describes one run.
type Config struct {
	Seed    uint64
	Variant Variant
	Nodes   int
	Callers int
	Length  time.Duration
	// FaultPeriod is the mean time between faults of the fleet.
	FaultPeriod time.Duration
}

// DefaultConfig returns 8 VMs with a fault every 400 ms.
func DefaultConfig(seed uint64, v Variant) Config {
	return Config{Seed: seed, Variant: v, Nodes: 8, Callers: 24, Length: 90 * time.Second, FaultPeriod: 400 * time.Millisecond}
}

const (
	// requestTimeout is the deadline of a request at its home.
	requestTimeout = 2 * time.Second
	// answerTimeout is the time after which a silent backend server makes the outcome unknown.
	answerTimeout = 3 * time.Second
	// maxSkew bounds the wall clocks of the VMs.
	maxSkew = 15 * time.Second
	// lossProbability, duplicateProbability and lateProbability are the parts of messages that are lost, duplicated and very late.
	lossProbability, duplicateProbability, lateProbability = 0.05, 0.2, 0.02
	// lateDelay exceeds the lifetime of a permit.
	lateDelay = 310 * time.Second
	// shedProbability and noAnswerProbability are the parts of requests that a backend server refuses and leaves unanswered.
	shedProbability, noAnswerProbability = 0.1, 0.05
	// drainTime is the time between the stop of a home and the export of its records.
	drainTime = 300 * time.Millisecond
)
