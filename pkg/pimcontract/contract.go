package pimcontract

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Contract is the agreement with one customer about one service.
type Contract struct {
	// ID identifies the contract.
	ID pimid.ContractID `toml:"id" json:"id"`
	// Customer names the party to the contract.
	Customer pimid.Customer `toml:"customer" json:"customer"`
	// Service is the service that the contract is about.
	Service pimid.ServiceID `toml:"service" json:"service"`
	// Sources lists the caller prefixes that belong to the customer; the longest matching prefix wins.
	Sources []netip.Prefix `toml:"sources" json:"sources"`
	// Terms apply unless a plan replaces them.
	Terms Terms `toml:"terms" json:"terms"`
	// Plans replace the terms at given times of the day.
	Plans []Plan `toml:"plan" json:"plan,omitempty"`
	// UTCOffset is the offset of the plan times from UTC.
	UTCOffset Duration `toml:"utc_offset" json:"utc_offset"`
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout Duration `toml:"default_timeout" json:"default_timeout"`
	// DataCentreWeights divides RateLimit, Burst and FlowLimit over the data centres; empty means equal fractions.
	DataCentreWeights map[pimid.DataCentre]float64 `toml:"data_centre_weights" json:"data_centre_weights,omitempty"`
}

// Terms are the limits, the share and the priority of a contract.
type Terms struct {
	// RateLimit is the hard limit on admitted requests per second over all data centres.
	RateLimit pimid.Rate `toml:"rate_limit" json:"rate_limit"`
	// Burst is the number of requests that may exceed the rate at once, over all data centres.
	Burst float64 `toml:"burst" json:"burst"`
	// FlowLimit is the hard limit on open flows over all data centres.
	FlowLimit pimid.Connections `toml:"flow_limit" json:"flow_limit"`
	// GuaranteedSlots are the slots of the service that the customer owns, over all data centres.
	GuaranteedSlots pimid.Slots `toml:"guaranteed_slots" json:"guaranteed_slots"`
	// LendLimit is the largest number of idle guaranteed slots that others may use.
	LendLimit pimid.Slots `toml:"lend_limit" json:"lend_limit"`
	// BorrowLimit is the largest number of slots used beyond the guaranteed ones.
	BorrowLimit pimid.Slots `toml:"borrow_limit" json:"borrow_limit"`
	// ShareWeight is the weight in the division of slots that no contract owns.
	ShareWeight float64 `toml:"share_weight" json:"share_weight"`
	// Priority orders the use of unowned and lent slots; a lower number goes first.
	Priority int `toml:"priority" json:"priority"`
}

// Plan replaces the terms from one time of the day to another.
type Plan struct {
	// From is the start as time of day since midnight.
	From Duration `toml:"from" json:"from"`
	// To is the end as time of day since midnight; a value before From means the next day.
	To Duration `toml:"to" json:"to"`
	// Terms apply while the plan is active.
	Terms Terms `toml:"terms" json:"terms"`
}

// Duration is a time.Duration written as text such as "800ms" in TOML and JSON.
type Duration time.Duration

// UnmarshalText parses a Go duration such as "800ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration as Go writes it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
