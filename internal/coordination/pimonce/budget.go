package pimonce

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// retryCost is the number of retry tokens that one retry takes. Each request adds one, so the retries of a contract
	// are at most 10% of its requests.
	retryCost = 10
	// maxRetryTokens bounds the burst of retries after a time with few retries to 10.
	maxRetryTokens = 10 * retryCost
)

// RetryBudget limits the retries of each contract to a fraction of its requests; a contract starts with enough retry
// tokens for one retry. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// tokens holds the unused retry tokens of each contract.
	tokens map[pimid.ContractID]int
}

// NewRetryBudget returns a budget that has seen no requests.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: map[pimid.ContractID]int{}} }

// Deposit adds one retry token for a request of the contract, up to maxRetryTokens.
func (b *RetryBudget) Deposit(c pimid.ContractID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[c]
	if !ok {
		t = retryCost
	}
	b.tokens[c] = min(t+1, maxRetryTokens)
}

// Take takes the retry tokens for one retry and reports whether there were enough.
func (b *RetryBudget) Take(c pimid.ContractID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[c] < retryCost {
		return false
	}
	b.tokens[c] -= retryCost
	return true
}
