package pimonce

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// retryRatio is the part of a contract's requests that may be repeated.
	retryRatio = 0.1
	// maxRetryTokens bounds the repetitions after a quiet time.
	maxRetryTokens = 10
)

// Budget holds the retry tokens of each contract; a contract starts with one.
type Budget struct {
	mu     sync.Mutex
	tokens map[pimid.ContractID]float64
}

// NewBudget returns an empty budget.
func NewBudget() *Budget { return &Budget{tokens: map[pimid.ContractID]float64{}} }

// Deposit accounts one request.
func (b *Budget) Deposit(c pimid.ContractID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[c]
	if !ok {
		t = 1
	}
	b.tokens[c] = min(t+retryRatio, maxRetryTokens)
}

// Take uses one token and reports whether there was one.
func (b *Budget) Take(c pimid.ContractID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[c] < 1 {
		return false
	}
	b.tokens[c]--
	return true
}
