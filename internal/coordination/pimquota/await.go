package pimquota

import (
	"context"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Await is like Request, but blocks: it returns when the permits are there, the wait has ended on the pool's clock,
// or ctx is done. Another goroutine must call Tick.
func (p *Pool) Await(
	ctx context.Context, now pimclock.Instant, wait WaitLimit, contract pimid.ContractID, n int,
) (ok bool, retryAfter time.Duration) {
	type answer struct {
		ok         bool
		retryAfter time.Duration
	}
	// The buffer lets the result be delivered after ctx is done.
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
