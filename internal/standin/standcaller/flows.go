package standcaller

import (
	"context"
	"errors"
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
)

// openFlows opens all flows, a limited number at once.
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
		r.tally.refused(err)
		return
	}
	r.tally.opened()
	r.cfg.Log.Debug().Str("identity", f.Identity()).Msg("flow opened")
	w := &flowWatch{run: r, flow: f}
	r.wg.Go(func() { w.loop(ctx) })
}

// flowWatch follows one flow until the run ends or the flow breaks.
type flowWatch struct {
	run  *run
	flow *pimcaller.Flow
}

func (w *flowWatch) loop(ctx context.Context) {
	for {
		select {
		case _, ok := <-w.flow.Updates():
			if !ok {
				w.ended()
				return
			}
			w.run.tally.notified()
		case <-ctx.Done():
			w.flow.Close()
			w.ended()
			return
		}
	}
}

func (w *flowWatch) ended() {
	if err := w.flow.Err(); !errors.Is(err, pimcaller.ErrFlowClosed) {
		w.run.tally.broken(err)
		w.run.cfg.Log.Warn().Err(err).Str("identity", w.flow.Identity()).Msg("flow broken")
	}
}
