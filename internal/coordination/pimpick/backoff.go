package pimpick

import (
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Backoff keeps an entry VM from asking slot owners for a contract that they have just refused; it is safe for
// concurrent use.
type Backoff struct {
	mu    sync.Mutex
	until map[pimid.ContractID]pimclock.Instant
}

// maxBackoff bounds the time in which no owner is asked for a contract, so that freed slots are found soon.
const maxBackoff = time.Second

// NewBackoff returns an empty table.
func NewBackoff() *Backoff { return &Backoff{until: map[pimid.ContractID]pimclock.Instant{}} }

// Refused records that owners refused a request because its estimated wait exceeded its timeout. Until the difference
// has passed, a request with the same timeout would be refused again; the backoff is bounded by maxBackoff.
func (b *Backoff) Refused(now pimclock.Instant, c pimid.ContractID, wait, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := min(wait-timeout, maxBackoff); d > 0 {
		b.until[c] = max(b.until[c], now.Add(d))
	}
}

// Allows reports whether owners may be asked, and otherwise the time until they may.
func (b *Backoff) Allows(now pimclock.Instant, c pimid.ContractID) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, blocked := b.until[c]
	if !blocked {
		return true, 0
	}
	if !now.Before(until) {
		delete(b.until, c)
		return true, 0
	}
	return false, until.Sub(now)
}
