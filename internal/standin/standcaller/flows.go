package standcaller

import (
	"context"
	"errors"
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
)

// openFlows opens all flows, at most OpenLimit of them concurrently.
func (r *run) openFlows(ctx context.Context) {
	var opening sync.WaitGroup
	limit := make(chan struct{}, r.cfg.OpenLimit)
	for range r.cfg.Flows {
		select {
		case limit <- struct{}{}:
		case <-ctx.Done():
			opening.Wait()
			return
		}
		opening.Go(func() {
			defer func() { <-limit }()
			r.openFlow(ctx)
		})
	}
	opening.Wait()
}

func (r *run) openFlow(ctx context.Context) {
	openCtx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	f, err := r.caller.Open(openCtx, r.cfg.Path)
	if err != nil {
		r.tally.recordRefused(err)
		return
	}
	r.tally.recordOpened()
	r.cfg.Log.Debug().Str("identity", f.Identity()).Msg("flow opened")
	m := &flowMonitor{run: r, flow: f}
	r.wg.Go(func() { m.loop(ctx) })
}

// flowMonitor counts the notifications of one flow until the run ends or the flow breaks.
type flowMonitor struct {
	run  *run
	flow *pimcaller.Flow
}

func (m *flowMonitor) loop(ctx context.Context) {
	for {
		select {
		case _, ok := <-m.flow.Updates():
			if !ok {
				m.recordEnd()
				return
			}
			m.run.tally.recordNotification()
		case <-ctx.Done():
			m.flow.Close()
			m.recordEnd()
			return
		}
	}
}

// recordEnd counts the flow as broken unless the run closed it.
func (m *flowMonitor) recordEnd() {
	if err := m.flow.Err(); !errors.Is(err, pimcaller.ErrFlowClosed) {
		m.run.tally.recordBroken(err)
		m.run.cfg.Log.Warn().Err(err).Str("identity", m.flow.Identity()).Msg("flow broken")
	}
}
