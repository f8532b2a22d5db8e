package pimflood

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The contracts of the simulated service, from the most urgent to the least urgent.
const (
	Plants    pimid.ContractID = 1
	Workshops pimid.ContractID = 2
	Clerks    pimid.ContractID = 3
)

// Names maps the contracts to their names in reports.
var Names = map[pimid.ContractID]string{Plants: "plants", Workshops: "workshops", Clerks: "clerks"}

const (
	service      pimid.ServiceID = 1
	dataCentres                  = 3
	nodes                        = 8
	hosts                        = 15
	slotsPerHost                 = 2
	totalSlots                   = hosts * slotsPerHost
	// localDelay is the one-way delay between VMs and backend servers of one data centre.
	localDelay = 250 * time.Microsecond
	// remoteDelay is the one-way delay between data centres.
	remoteDelay = 5 * time.Millisecond
	// callerDelay is the one-way delay between callers and VMs.
	callerDelay = 3 * time.Millisecond
	// meanDuration, minDuration and maxDuration describe the run time of a request, which is exponential within bounds.
	meanDuration = 50 * time.Millisecond
	minDuration  = 5 * time.Millisecond
	maxDuration  = 250 * time.Millisecond
	// timeout is the time from the arrival of an attempt at its entry VM to its deadline.
	timeout = time.Second
	// tickPeriod is the period of the owners' ticks.
	tickPeriod = 5 * time.Millisecond
	// maxRetries is how often a caller retries a refused request.
	maxRetries = 2
	// capacity is the number of requests per second that all slots can run.
	capacity = float64(totalSlots) / (float64(meanDuration) / float64(time.Second))
)

// terms returns the terms of the contracts. 6 of the 30 slots are not guaranteed to any contract.
func terms() []pimslot.ContractTerms {
	return []pimslot.ContractTerms{
		{ID: Plants, Terms: pimcontract.Terms{
			GuaranteedSlots: 12, LendLimit: 12, BorrowLimit: totalSlots, ShareWeight: 2, Priority: 1,
		}},
		{ID: Workshops, Terms: pimcontract.Terms{
			GuaranteedSlots: 9, LendLimit: 9, BorrowLimit: totalSlots, ShareWeight: 1, Priority: 2,
		}},
		{ID: Clerks, Terms: pimcontract.Terms{
			GuaranteedSlots: 3, LendLimit: 3, BorrowLimit: totalSlots, ShareWeight: 1, Priority: 3,
		}},
	}
}

// guaranteedSlots returns the number of slots that a contract is guaranteed, or 0 if the contract is unknown.
func guaranteedSlots(id pimid.ContractID) float64 {
	for _, t := range terms() {
		if t.ID == id {
			return float64(t.Terms.GuaranteedSlots)
		}
	}
	return 0
}

// Guaranteed returns the number of requests per second that the guaranteed slots of a contract can run.
func Guaranteed(id pimid.ContractID) float64 { return capacity * guaranteedSlots(id) / totalSlots }

// Policy names the scheduling policy under test.
type Policy string

// The policies.
const (
	// Shares is the policy of package pimslot.
	Shares Policy = "shares"
	// FIFO is the baseline: each owner has one queue for all contracts, without shares.
	FIFO Policy = "fifo"
)

// Phase is a period of the run in which the given contracts flood.
type Phase struct {
	Name   string
	Length time.Duration
	Flood  []pimid.ContractID
}

// Config describes one run.
type Config struct {
	Seed   uint64
	Policy Policy
	// Load is the offered load of a contract that does not flood, as a fraction of its guarantee.
	Load float64
	// FloodFactor is the offered load of a flooding contract, as a multiple of the capacity of all slots.
	FloodFactor float64
	Phases      []Phase
}

// DefaultConfig returns a run with floods of the least urgent contract, of the most urgent one and of both, each
// between two calm phases without a flood.
func DefaultConfig(seed uint64, policy Policy, flood, calm time.Duration) Config {
	return Config{
		Seed: seed, Policy: policy, Load: 0.9, FloodFactor: 10,
		Phases: []Phase{
			{Name: "calm", Length: calm},
			{Name: "least_urgent", Length: flood, Flood: []pimid.ContractID{Clerks}},
			{Name: "calm_after_least", Length: calm},
			{Name: "most_urgent", Length: flood, Flood: []pimid.ContractID{Plants}},
			{Name: "calm_after_most", Length: calm},
			{Name: "both", Length: flood, Flood: []pimid.ContractID{Plants, Clerks}},
			{Name: "calm_after_both", Length: calm},
		},
	}
}
