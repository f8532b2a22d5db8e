package pimplatform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Sink takes what a follower reads; pimconfig.Store implements it.
type Sink interface {
	Revision() pimid.Revision
	Apply(pimconfig.Batch) error
	Restore(pimconfig.Snapshot) error
}

// Follower keeps a sink up to date from the platform while it is enabled.
type Follower struct {
	client  *Client
	sink    Sink
	enabled func() bool
	changed func()
	backoff *Backoff
	log     zerolog.Logger
	wg      sync.WaitGroup
}

// idleCheck is how often a VM that is not a reader checks whether it has become one.
const idleCheck = time.Second

// NewFollower follows the platform until cleanup is called. It reads only while enabled returns true and calls
// changed after each change of the sink.
func NewFollower(ctx context.Context, client *Client, sink Sink, enabled func() bool, changed func(),
	backoff *Backoff, log zerolog.Logger,
) (f *Follower, cleanup func()) {
	f = &Follower{client: client, sink: sink, enabled: enabled, changed: changed, backoff: backoff, log: log}
	ctx, cancel := context.WithCancel(ctx)
	f.wg.Add(1)
	go f.loop(ctx)
	return f, func() {
		cancel()
		f.wg.Wait()
	}
}

func (f *Follower) loop(ctx context.Context) {
	defer f.wg.Done()
	for ctx.Err() == nil {
		wait(ctx, f.step(ctx))
	}
}

// step makes one call and returns the time to wait before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	if !f.enabled() {
		return idleCheck
	}
	err := f.read(ctx)
	if err == nil {
		f.backoff.Reset()
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	f.log.Warn().Err(err).Uint64("revision", uint64(f.sink.Revision())).Msg("platform read failed")
	return f.backoff.Next()
}

// read watches from the current revision. It reads all keys if the events are gone or if nothing was read yet.
func (f *Follower) read(ctx context.Context) error {
	from := f.sink.Revision()
	if from == 0 {
		return f.readAll(ctx)
	}
	b, err := f.client.Watch(ctx, from)
	if errors.Is(err, ErrCompacted) {
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	if b.To == from {
		return nil
	}
	return f.applied(f.sink.Apply(b))
}

func (f *Follower) readAll(ctx context.Context) error {
	snap, err := f.client.Keys(ctx)
	if err != nil {
		return err
	}
	return f.applied(f.sink.Restore(snap))
}

func (f *Follower) applied(err error) error {
	if err != nil {
		return err
	}
	f.changed()
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
