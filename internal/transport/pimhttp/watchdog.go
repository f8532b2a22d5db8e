package pimhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// checksPerTimeout is the number of checks within one StallTimeout.
const checksPerTimeout = 4

// watchdog cancels one request, which closes its connection, if the connection is stalled while a new connection to the
// server works.
type watchdog struct {
	client  *Client
	backend pimview.Backend
	attempt *attempt
	stalled atomic.Bool
	wg      sync.WaitGroup
}

// start starts the checks; stop ends them and waits for the goroutine.
func (w *watchdog) start(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	watchCtx, end := context.WithCancel(ctx)
	w.wg.Go(func() { w.run(watchCtx, cancel) })
	return func() {
		end()
		w.wg.Wait()
	}
}

func (w *watchdog) run(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(w.client.cfg.StallTimeout / checksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !w.isStalled() || !w.probeSucceeds(ctx) || !w.isStalled() {
				continue
			}
			w.stalled.Store(true)
			cancel()
			return
		}
	}
}

// isStalled reports whether the request is written and no byte was received for StallTimeout.
func (w *watchdog) isStalled() bool {
	c := w.attempt.conn()
	if c == nil || !w.attempt.requestWritten.Load() {
		return false
	}
	return w.client.cfg.Clock.Now().Sub(c.lastActivity()) >= w.client.cfg.StallTimeout
}

func (w *watchdog) probeSucceeds(ctx context.Context) bool {
	_, err := w.client.Health(ctx, w.backend)
	return err == nil
}

// cause returns ErrNoProgress if the watchdog cancelled the request, otherwise err.
func (w *watchdog) cause(err error) error {
	if w.stalled.Load() {
		return ErrNoProgress
	}
	return err
}
