package pimquota

import (
	"context"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Await is Request for a caller that can block: it returns when the permits are there, the wait has ended on the pool's
// clock, or ctx is done. It relies on Tick being called by another goroutine.
func (p *Pool) Await(
	ctx context.Context, now pimclock.Instant, wait WaitLimit, contract pimid.ContractID, n int,
) (ok bool, retryAfter time.Duration) {
	type answer struct {
		ok         bool
		retryAfter time.Duration
	}
	// One place in the channel lets the result be delivered after the caller has gone.
	answers := make(chan answer, 1)
	p.Request(now, wait, contract, n, func(ok bool, retryAfter time.Duration) {
		answers <- answer{ok: ok, retryAfter: retryAfter}
	})
	select {
	case a := <-answers:
		return a.ok, a.retryAfter
	case <-ctx.Done():
		return false, borrowPeriod
	}
}
