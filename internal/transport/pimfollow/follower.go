package pimfollow

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ErrCompacted means that a source no longer has the changes after the requested revision.
var ErrCompacted = errors.New("events after the revision are no longer available")

// Batch is a part of the ordered changes of a source.
type Batch interface {
	// End is the revision up to which the batch tells all changes.
	End() pimid.Revision
}

// Source can be listed and watched.
type Source[B Batch, S any] interface {
	// Keys returns everything.
	Keys(ctx context.Context) (S, error)
	// Watch returns changes after a revision and waits for them at most as long as hold and the source allow; the
	// error is ErrCompacted if they are gone.
	Watch(ctx context.Context, from pimid.Revision, hold time.Duration) (B, error)
}

// Sink takes what a follower reads.
type Sink[B Batch, S any] interface {
	Revision() pimid.Revision
	Apply(B) error
	Restore(S) error
}

// Config says what a follower reads and who hears of it.
type Config[B Batch, S any] struct {
	Source Source[B, S]
	Sink   Sink[B, S]
	// Enabled reports whether this VM reads; nil means always.
	Enabled func() bool
	// Hold says how long the next watch may wait; nil means as long as the source allows.
	Hold func() time.Duration
	// IdleCheck is how often a VM that is not a reader checks whether it has become one; zero means one second.
	IdleCheck time.Duration
	// BatchDelay is the time between a watch that told changes and the next one, so that changes that come in a row are told
	// together; zero means none.
	BatchDelay time.Duration
	// Changed is called after each change of the sink; nil means that nobody asks.
	Changed func()
	// Observe hears the result of each read before it is applied; nil means that nobody asks.
	Observe func(err error)
	Backoff *Backoff
	Log     zerolog.Logger
}

// Follower keeps a sink up to date while it is enabled.
type Follower[B Batch, S any] struct {
	cfg Config[B, S]
	wg  sync.WaitGroup
}

const (
	defaultIdleCheck = time.Second
	// unlimitedHold leaves the wait to the source.
	unlimitedHold = time.Duration(math.MaxInt64)
)

// New follows a source until cleanup is called.
func New[B Batch, S any](ctx context.Context, cfg Config[B, S]) (f *Follower[B, S], cleanup func()) {
	if cfg.Enabled == nil {
		cfg.Enabled = func() bool { return true }
	}
	if cfg.Hold == nil {
		cfg.Hold = func() time.Duration { return unlimitedHold }
	}
	if cfg.IdleCheck == 0 {
		cfg.IdleCheck = defaultIdleCheck
	}
	if cfg.Changed == nil {
		cfg.Changed = func() {}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(error) {}
	}
	f = &Follower[B, S]{cfg: cfg}
	ctx, cancel := context.WithCancel(ctx)
	f.wg.Add(1)
	go f.loop(ctx)
	return f, func() {
		cancel()
		f.wg.Wait()
	}
}

func (f *Follower[B, S]) loop(ctx context.Context) {
	defer f.wg.Done()
	for ctx.Err() == nil {
		pimclock.Sleep(ctx, f.step(ctx))
	}
}

// step makes one call and returns the time to wait before the next.
func (f *Follower[B, S]) step(ctx context.Context) time.Duration {
	if !f.cfg.Enabled() {
		return f.cfg.IdleCheck
	}
	changed, err := f.read(ctx)
	if err == nil {
		f.cfg.Backoff.Reset()
		if changed {
			return f.cfg.BatchDelay
		}
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	f.cfg.Log.Warn().Err(err).Uint64("revision", uint64(f.cfg.Sink.Revision())).Msg("platform read failed")
	return f.cfg.Backoff.Next()
}

// read watches from the current revision. It reads all keys if the events are gone or if nothing was read yet.
func (f *Follower[B, S]) read(ctx context.Context) (changed bool, err error) {
	from := f.cfg.Sink.Revision()
	if from == 0 {
		return true, f.readAll(ctx)
	}
	b, err := f.cfg.Source.Watch(ctx, from, f.cfg.Hold())
	if errors.Is(err, ErrCompacted) {
		return true, f.readAll(ctx)
	}
	f.cfg.Observe(err)
	if err != nil || b.End() == from {
		return false, err
	}
	return true, f.notifyApplied(f.cfg.Sink.Apply(b))
}

func (f *Follower[B, S]) readAll(ctx context.Context) error {
	snap, err := f.cfg.Source.Keys(ctx)
	f.cfg.Observe(err)
	if err != nil {
		return err
	}
	return f.notifyApplied(f.cfg.Sink.Restore(snap))
}

func (f *Follower[B, S]) notifyApplied(err error) error {
	if err != nil {
		return err
	}
	f.cfg.Changed()
	return nil
}
