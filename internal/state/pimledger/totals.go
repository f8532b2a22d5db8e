package pimledger

import (
	"maps"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Totals are the counters of one contract at one moment.
type Totals struct {
	Offered  uint64 `json:"offered"`
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	InFlight uint64 `json:"in_flight"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	Unknown  uint64 `json:"unknown"`
	// Refusals divides Refused by reason.
	Refusals map[Reason]uint64 `json:"refusals,omitempty"`
}

// Balanced reports whether offered is admitted plus refused, the refusals by reason add up to refused, and admitted is
// answered plus failed plus unknown plus in flight.
func (t Totals) Balanced() bool {
	var reasons uint64
	for n := range maps.Values(t.Refusals) {
		reasons += n
	}
	return t.Offered == t.Admitted+t.Refused && t.Refused == reasons &&
		t.Admitted == t.Answered+t.Failed+t.Unknown+t.InFlight
}

// Snapshot holds the totals of all contracts. The totals of one contract are consistent; those of different contracts may
// be from different times.
type Snapshot map[pimid.ContractID]Totals

// Snapshot returns the totals of all contracts.
func (l *Ledger) Snapshot() Snapshot {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := make(Snapshot, len(l.accounts))
	for id, a := range l.accounts {
		s[id] = a.Totals()
	}
	return s
}
