package pimledger

import (
	"maps"
	"sync"
)

// Reason says why work was refused; the values are the reasons in replies to callers.
type Reason string

// Account counts the work of one contract; it is safe for concurrent use. Work counts as offered only together with its
// admission or refusal, so that offered work is always one of the two.
type Account struct {
	mu       sync.Mutex
	offered  uint64
	admitted uint64
	inFlight uint64
	answered uint64
	failed   uint64
	unknown  uint64
	refused  uint64
	refusals map[Reason]uint64
}

// Admit counts work as offered and admitted. Call exactly one method of the ticket when the work ends; until then
// it is in flight.
func (a *Account) Admit() *Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offered++
	a.admitted++
	a.inFlight++
	return &Ticket{account: a}
}

// Refuse counts work as offered and refused.
func (a *Account) Refuse(reason Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offered++
	a.refuse(reason)
}

func (a *Account) refuse(reason Reason) {
	a.refused++
	a.refusals[reason]++
}

// Totals returns a consistent copy of all counters.
func (a *Account) Totals() Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Totals{
		Offered: a.offered, Admitted: a.admitted, Refused: a.refused, InFlight: a.inFlight,
		Answered: a.answered, Failed: a.failed, Unknown: a.unknown, Refusals: maps.Clone(a.refusals),
	}
}
