package pimhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// checksPerLimit is the number of checks within one silence limit.
const checksPerLimit = 4

// watch closes the connection of one request if it is silent while a new connection to the server works.
type watch struct {
	client  *Client
	backend pimview.Backend
	attempt *attempt
	silent  atomic.Bool
	wg      sync.WaitGroup
}

// start begins to watch; stop ends it and waits.
func (w *watch) start(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	watchCtx, end := context.WithCancel(ctx)
	w.wg.Go(func() { w.run(watchCtx, cancel) })
	return func() {
		end()
		w.wg.Wait()
	}
}

func (w *watch) run(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(w.client.cfg.StallTimeout / checksPerLimit)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !w.isSilent() || !w.probeWorks(ctx) || !w.isSilent() {
				continue
			}
			w.silent.Store(true)
			cancel()
			return
		}
	}
}

func (w *watch) isSilent() bool {
	c := w.attempt.conn()
	if c == nil || !w.attempt.requestWritten.Load() {
		return false
	}
	return w.client.cfg.Clock.Now().Sub(c.silentSince()) >= w.client.cfg.StallTimeout
}

func (w *watch) probeWorks(ctx context.Context) bool {
	_, err := w.client.Health(ctx, w.backend)
	return err == nil
}

// explain replaces the error of a request that the watch cancelled.
func (w *watch) explain(err error) error {
	if w.silent.Load() {
		return ErrNoProgress
	}
	return err
}
