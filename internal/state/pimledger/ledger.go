package pimledger

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Ledger holds one account per contract; it is safe for concurrent use.
type Ledger struct {
	mu       sync.RWMutex
	accounts map[pimid.ContractID]*Account
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: map[pimid.ContractID]*Account{}}
}

// Account returns the account of a contract and creates it if there is none.
func (l *Ledger) Account(contract pimid.ContractID) *Account {
	l.mu.RLock()
	a := l.accounts[contract]
	l.mu.RUnlock()
	if a != nil {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a = l.accounts[contract]; a == nil {
		a = &Account{refusals: map[Reason]uint64{}}
		l.accounts[contract] = a
	}
	return a
}
