package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// GrantID identifies one grant of one slot owner.
type GrantID uint64

// OfferID identifies one queued or granted request at one core.
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
	// Wait is the estimated wait of the next request of the same contract.
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
	// Wait is the estimated wait of a new request.
	Wait time.Duration
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	return "no slot: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}

// Result is what the holder of a grant observed.
type Result struct {
	Outcome pimedge.Outcome
	// Shed reports that the backend server refused with 503; ShedFor is its Retry-After value.
	Shed    bool
	ShedFor time.Duration
	// NoProgress reports that the connection went silent.
	NoProgress bool
	// Duration is the time from the send to the answer.
	Duration time.Duration
}

// Host is a backend server that this VM owns.
type Host struct {
	ID         pimid.BackendID
	Generation pimid.Generation
	Service    pimid.ServiceID
	Slots      pimid.Slots
	// Draining excludes the host from new work.
	Draining bool
	// Cold starts the host with part of its slots.
	Cold bool
	// InFlight is the reported number of running requests; it counts only when the host is first added.
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
	// TotalSlots is the number of slots of the service over all data centres.
	TotalSlots pimid.Slots
	Contracts  []ContractTerms
	// DataCentreHosts and DataCentreFailed count the service's hosts of the data centre and those that other owners
	// have ejected; zero hosts means that only own hosts count.
	DataCentreHosts  int
	DataCentreFailed int
}

// Refusal returns the reason and the retry time.
func (e *RefusalError) Refusal() (reason pimedge.Reason, retryAfter time.Duration) {
	return e.Reason, e.RetryAfter
}
