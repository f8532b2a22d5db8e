package pimfollow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// UrgentSource is a source that can be watched for its urgent changes alone.
type UrgentSource[B Batch] interface {
	// WatchAnswered is Source.Watch; it calls answered once the source has begun to answer.
	WatchAnswered(ctx context.Context, from pimid.Revision, hold time.Duration, answered func()) (B, error)
	// WatchUrgent is Source.Watch for the urgent changes only. A batch without changes ends at from.
	WatchUrgent(ctx context.Context, from pimid.Revision, hold time.Duration) (B, error)
}

// Urgent watches the urgent changes alone while a large response with all changes is arriving, so that they do not wait for it.
// Calls are priced, so there are none as long as responses arrive at once.
type Urgent[B Batch] struct {
	Source UrgentSource[B]
	// After is how long a response must have been arriving before the first call, and the delay after a failed one. BatchDelay is the
	// time between a call that returned changes and the next one.
	After, BatchDelay time.Duration
	// Apply is called with each batch that holds changes, Failed with the error of each failed call.
	Apply  func(B)
	Failed func(error)
}

// urgentRun follows the urgent changes during one read.
type urgentRun[B Batch] struct {
	*Urgent[B]
	from pimid.Revision
	once sync.Once
	wg   sync.WaitGroup
}

// begin prepares to follow the urgent changes after a revision, which start does. The clean-up function ends that.
func (u *Urgent[B]) begin(ctx context.Context, from pimid.Revision) (start, cleanup func()) {
	if u == nil {
		return func() {}, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &urgentRun[B]{Urgent: u, from: from}
	start = func() { r.once.Do(func() { r.wg.Go(func() { r.run(ctx) }) }) }
	return start, func() {
		cancel()
		// A run that has not been started yet must not be started after the clean-up.
		r.once.Do(func() {})
		r.wg.Wait()
	}
}

func (r *urgentRun[B]) run(ctx context.Context) {
	pimclock.Sleep(ctx, r.After)
	for ctx.Err() == nil {
		b, err := r.Source.WatchUrgent(ctx, r.from, unlimitedHold)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrTooLarge):
			// Only the complete state helps, which the other call returns.
			return
		case err != nil:
			r.Failed(err)
			pimclock.Sleep(ctx, r.After)
		case b.End() != r.from:
			r.from = b.End()
			r.Apply(b)
			pimclock.Sleep(ctx, r.BatchDelay)
		}
	}
}
