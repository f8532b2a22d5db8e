package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// GrantID identifies one grant among those of one slot owner.
type GrantID uint64

// OfferID identifies one request at one Core from its offer to the decision.
type OfferID uint64

// SlotRequest asks for one slot of a service.
type SlotRequest struct {
	Service  pimid.ServiceID
	Contract pimid.ContractID
	// Deadline is the caller's deadline on the owner's clock.
	Deadline pimclock.Instant
	// Exclude lists backend servers that this request has tried already.
	Exclude []pimid.BackendID
}

// Grant is the permission to run one request on one backend server until ExpiresAt.
type Grant struct {
	ID         GrantID
	Backend    pimid.BackendID
	Generation pimid.Generation
	ExpiresAt  pimclock.Instant
	// Wait is the estimated wait of the next request of the same contract; it is returned with the grant, so that VMs can
	// choose between the owners by their waits.
	Wait time.Duration
}

// Decision is the answer to one offer: a grant, or a refusal if Refusal is set.
type Decision struct {
	Offer   OfferID
	Grant   Grant
	Refusal *RefusalError
}

// RefusalError says why no slot was granted and when to try again.
type RefusalError struct {
	Reason     pimedge.Reason
	RetryAfter time.Duration
	// Wait is the estimated wait of a new request, as in Grant.
	Wait time.Duration
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	return "no slot: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}

// Result is what the holder of a grant observed.
type Result struct {
	Outcome pimedge.Outcome
	// Shed reports that the backend server refused the request with 503; ShedFor is the value of Retry-After, or 0.
	Shed    bool
	ShedFor time.Duration
	// NoProgress reports that the connection stalled for the progress timeout while a new connection worked.
	NoProgress bool
	// Duration is the time that the attempt took, also without an answer; if it is 0, the expected duration is charged.
	Duration time.Duration
}

// Host is a backend server that this VM owns.
type Host struct {
	ID         pimid.BackendID
	Generation pimid.Generation
	Service    pimid.ServiceID
	Slots      pimid.Slots
	// Draining excludes the backend server from new work.
	Draining bool
	// Cold starts the backend server with part of its slots, see Config.SlowStart.
	Cold bool
	// InFlight is the reported number of running requests; it is used only when the backend server is added, has restarted
	// or has moved to another service.
	InFlight int
}

// ContractTerms are the active terms of one contract.
type ContractTerms struct {
	ID    pimid.ContractID
	Terms pimcontract.Terms
}

// Policy holds the active terms of all contracts of one service.
type Policy struct {
	Service pimid.ServiceID
	// TotalSlots is the number of slots of the service in all data centres; 0 stands for the slots of this owner.
	TotalSlots pimid.Slots
	Contracts  []ContractTerms
	// DataCentreHosts counts the service's backend servers in the data centre, DataCentreFailed those of them that their
	// owners, including this one, reported as failed; if DataCentreHosts is 0, only the hosts of this owner count.
	DataCentreHosts  int
	DataCentreFailed int
}

// Refusal returns the reason and the retry time.
func (e *RefusalError) Refusal() (reason pimedge.Reason, retryAfter time.Duration) {
	return e.Reason, e.RetryAfter
}
