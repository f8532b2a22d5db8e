package pimplan

import (
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Report holds the effects of a change.
type Report struct {
	// At is the time at which the compared terms are in force.
	At time.Time `json:"at"`
	// Contracts compares each contract in each data centre.
	Contracts []ContractRow `json:"contracts"`
	// Services compares the slots of each service in each data centre.
	Services []ServiceRow `json:"services"`
	// Owners lists the backend servers whose slots are owned by another VM after the change.
	Owners []OwnerMove `json:"owners"`
	// GuaranteeChecks compares the guarantees with the slots at midnight UTC and at every time of the day at which a
	// contract's plan changes the terms.
	GuaranteeChecks []GuaranteeCheck `json:"sums"`
	// Flows lists the backend servers whose flows are affected.
	Flows []FlowEffect `json:"flows"`
	// Warnings are the effects that an operator probably does not want.
	Warnings []Warning `json:"warnings"`
}

// Change holds a value before and after the change.
type Change[T comparable] struct {
	Before T `json:"before"`
	After  T `json:"after"`
}

// Changed reports whether Before and After differ.
func (c Change[T]) Changed() bool { return c.Before != c.After }

// ContractRow is the effect on one contract in one data centre.
type ContractRow struct {
	Contract   pimid.ContractID `json:"contract"`
	Customer   pimid.Customer   `json:"customer"`
	Service    pimid.ServiceID  `json:"service"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	// Rate is the limit in requests per second.
	Rate Change[float64] `json:"rate"`
	// RatePerVM is Rate divided by the number of VMs of the data centre.
	RatePerVM Change[float64] `json:"rate_per_vm"`
	// Flows is the limit on open flows.
	Flows Change[float64] `json:"flows"`
	// Guaranteed is the number of slots that the contract guarantees to the customer.
	Guaranteed Change[float64] `json:"guaranteed"`
	// Shared is the number of unowned slots that fall to the contract by its share weight; the priority decides who gets
	// unowned slots first.
	Shared Change[float64] `json:"shared"`
}

// Changed reports whether any value differs.
func (r *ContractRow) Changed() bool {
	return r.Rate.Changed() || r.RatePerVM.Changed() || r.Flows.Changed() || r.Guaranteed.Changed() || r.Shared.Changed()
}

// ServiceRow is the effect on the slots of one service in one data centre.
type ServiceRow struct {
	Service    pimid.ServiceID  `json:"service"`
	Name       string           `json:"name"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	Hosts      Change[int]      `json:"hosts"`
	Slots      Change[float64]  `json:"slots"`
	// Guaranteed is the number of slots that contracts guarantee; Unowned is the number that no contract guarantees.
	Guaranteed Change[float64] `json:"guaranteed"`
	Unowned    Change[float64] `json:"unowned"`
}

// OwnerMove is a backend server whose slots are owned by another VM after the change.
type OwnerMove struct {
	Backend    pimid.BackendID      `json:"backend"`
	DataCentre pimid.DataCentre     `json:"data_centre"`
	Owner      Change[pimid.NodeID] `json:"owner"`
}

// GuaranteeCheck compares the guarantees of one service after the change with its slots at one time of the day.
type GuaranteeCheck struct {
	Service    pimid.ServiceID `json:"service"`
	Time       string          `json:"time_utc"`
	Guaranteed pimid.Slots     `json:"guaranteed"`
	Slots      pimid.Slots     `json:"slots"`
	OK         bool            `json:"ok"`
}

// FlowEffect is the effect on the established flows of one backend server.
type FlowEffect struct {
	Service pimid.ServiceID `json:"service"`
	Backend pimid.BackendID `json:"backend"`
	// MaxFlows is the largest number of flows that can be affected.
	MaxFlows pimid.Connections `json:"at_most"`
	// Broken reports whether the flows end; otherwise they continue, but the backend server gets no new ones.
	Broken bool   `json:"broken"`
	Reason string `json:"reason"`
}

// Warning is an effect that an operator probably does not want.
type Warning struct {
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
}
