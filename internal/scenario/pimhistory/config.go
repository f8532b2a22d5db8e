package pimhistory

import "time"

// Variant selects the VM that deduplicates requests.
type Variant string

// The variants.
const (
	// HomeVM deduplicates at the home VM of the token.
	HomeVM Variant = "home_vm"
	// EntryVM deduplicates at the VM that a packet reaches. It is wrong on purpose, to test the checks: the copies of a
	// packet reach different VMs.
	EntryVM Variant = "entry_vm"
)

// Config describes one run.
type Config struct {
	Seed    uint64
	Variant Variant
	Nodes   int
	Callers int
	Length  time.Duration
	// FaultPeriod is the mean time between two faults in the whole fleet.
	FaultPeriod time.Duration
}

// DefaultConfig returns a run of 90 s with 8 VMs, 24 callers and a fault every 400 ms on average.
func DefaultConfig(seed uint64, v Variant) Config {
	return Config{Seed: seed, Variant: v, Nodes: 8, Callers: 24, Length: 90 * time.Second, FaultPeriod: 400 * time.Millisecond}
}

const (
	// requestTimeout is the time after the start of a request at its home VM within which it must be sent to a backend
	// server.
	requestTimeout = 2 * time.Second
	// answerTimeout is the time without an answer of the backend server after which the outcome is unknown.
	answerTimeout = 3 * time.Second
	// maxSkew is the largest error of a VM's wall clock in both directions.
	maxSkew = 15 * time.Second
	// lossProbability, duplicateProbability and lateProbability are the probabilities that a message is lost, is
	// duplicated and arrives very late.
	lossProbability, duplicateProbability, lateProbability = 0.05, 0.2, 0.02
	// lateDelay is the largest delay of a very late message. It exceeds the lifetime of a permit.
	lateDelay = 310 * time.Second
	// shedProbability and noAnswerProbability are the probabilities that a backend server refuses a request, and that
	// it runs the request but its answer is lost.
	shedProbability, noAnswerProbability = 0.1, 0.05
	// drainTime is the mean time between the stop of a home and the export of its records.
	drainTime = 300 * time.Millisecond
)
