package pimonce

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// retryCost is the number of requests that pay for one repetition: 10% of a contract's requests may be repeated.
	retryCost = 10
	// maxRetryTokens bounds the repetitions after a quiet time.
	maxRetryTokens = 10 * retryCost
)

// Budget holds the retry tokens of each contract; a contract starts with one repetition.
type Budget struct {
	mu sync.Mutex
	// tokens counts the requests that have not paid for a repetition yet.
	tokens map[pimid.ContractID]int
}

// NewBudget returns an empty budget.
func NewBudget() *Budget { return &Budget{tokens: map[pimid.ContractID]int{}} }

// Deposit accounts one request.
func (b *Budget) Deposit(c pimid.ContractID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[c]
	if !ok {
		t = retryCost
	}
	b.tokens[c] = min(t+1, maxRetryTokens)
}

// Take uses one token and reports whether there was one.
func (b *Budget) Take(c pimid.ContractID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[c] < retryCost {
		return false
	}
	b.tokens[c] -= retryCost
	return true
}
