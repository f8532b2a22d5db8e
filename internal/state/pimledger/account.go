package pimledger

import (
	"maps"
	"sync"
)

// Reason says why work was refused; the values are the reasons of a reply to a caller.
type Reason string

// Account counts the work of one contract. Work is offered when it is admitted or refused, so that no work is ever
// in between.
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

// Admit counts work as offered and admitted; exactly one method of the ticket must be called when it ends.
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

// Totals returns all counters at one moment.
func (a *Account) Totals() Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Totals{
		Offered: a.offered, Admitted: a.admitted, Refused: a.refused, InFlight: a.inFlight,
		Answered: a.answered, Failed: a.failed, Unknown: a.unknown, Refusals: maps.Clone(a.refusals),
	}
}
