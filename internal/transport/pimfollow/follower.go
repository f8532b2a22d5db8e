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

// ErrCompacted means that the source no longer holds the changes after the requested revision.
var ErrCompacted = errors.New("events after the revision are no longer available")

// ErrTooLarge means that the changes after the requested revision are larger than one response may be.
var ErrTooLarge = errors.New("changes after the revision are too large")

// Batch is a consecutive part of the changes of a source.
type Batch interface {
	// End returns the revision up to which the batch contains all changes.
	End() pimid.Revision
	Response
}

// Response is the result of a call to a source.
type Response interface {
	// AsOf returns the latest instant at which the source certainly had nothing newer than the response: it may have taken long to
	// arrive, and may have waited in the socket of a VM that stood still.
	AsOf() pimclock.Instant
}

// Source is a versioned key-value store that can be listed and watched.
type Source[B Batch, S Response] interface {
	// Snapshot returns the complete state.
	Snapshot(ctx context.Context) (S, error)
	// Watch returns the changes after a revision. It waits for them for at most hold, or less if the source limits the
	// wait; the error is ErrCompacted if the changes are no longer available, and ErrTooLarge if they are too large.
	Watch(ctx context.Context, from pimid.Revision, hold time.Duration) (B, error)
}

// Sink stores the state that a follower reads.
type Sink[B Batch, S Response] interface {
	Revision() pimid.Revision
	Apply(B) error
	Restore(S) error
}

// Config holds the source, the sink and the callbacks of a follower.
type Config[B Batch, S Response] struct {
	Source Source[B, S]
	Sink   Sink[B, S]
	// Enabled reports whether this VM reads the source at present; nil means always.
	Enabled func() bool
	// Hold returns how long the next watch may wait; nil means as long as the source allows.
	Hold func() time.Duration
	// IdleCheck is the interval at which Enabled is called again while it returns false; zero means 1 s.
	IdleCheck time.Duration
	// BatchDelay is the time between a read that returned changes and the next watch, so that changes in quick
	// succession arrive in one batch; zero means none.
	BatchDelay time.Duration
	// Changed is called after each change of the sink; nil means no callback.
	Changed func()
	// Unchanged is called after each watch without changes; nil means no callback.
	Unchanged func()
	// Observe is called with the error of each read, or nil and the instant as of which the response is complete, before the result is
	// applied, but not with ErrCompacted or ErrTooLarge of a watch; nil means no callback.
	Observe func(asOf pimclock.Instant, err error)
	// Backoff gives the delay after a failed read, RetryScale its present scale; nil means 1.
	Backoff    *Backoff
	RetryScale func() float64
	// Urgent follows some of the changes ahead of the others; nil means that all of them wait for each other.
	Urgent *Urgent[B]
	Log    zerolog.Logger
}

// Follower keeps a sink up to date while it is enabled.
type Follower[B Batch, S Response] struct {
	cfg Config[B, S]
	wg  sync.WaitGroup
}

const (
	defaultIdleCheck = time.Second
	// unlimitedHold leaves the limit of the wait to the source.
	unlimitedHold = time.Duration(math.MaxInt64)
)

// New starts a goroutine that follows the source until cleanup is called, which waits for the goroutine to end.
func New[B Batch, S Response](ctx context.Context, cfg Config[B, S]) (f *Follower[B, S], cleanup func()) {
	if cfg.Enabled == nil {
		cfg.Enabled = func() bool { return true }
	}
	if cfg.Hold == nil {
		cfg.Hold = func() time.Duration { return unlimitedHold }
	}
	if cfg.IdleCheck == 0 {
		cfg.IdleCheck = defaultIdleCheck
	}
	if cfg.RetryScale == nil {
		cfg.RetryScale = func() float64 { return 1 }
	}
	if cfg.Changed == nil {
		cfg.Changed = func() {}
	}
	if cfg.Unchanged == nil {
		cfg.Unchanged = func() {}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(pimclock.Instant, error) {}
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

// step reads once if the follower is enabled and returns the delay before the next step.
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
	revision := f.cfg.Sink.Revision()
	f.cfg.Log.Warn().Err(err).Uint64("era", uint64(revision.Era())).Uint64("revision", revision.Number()).Msg("platform read failed")
	f.cfg.Backoff.Scale = f.cfg.RetryScale()
	return f.cfg.Backoff.Next()
}

// read watches from the revision of the sink. It reads the complete state if the sink is empty, or if the source no
// longer holds the changes or they are too large.
func (f *Follower[B, S]) read(ctx context.Context) (changed bool, err error) {
	from := f.cfg.Sink.Revision()
	if from == 0 {
		return true, f.readAll(ctx)
	}
	urgent, end := f.cfg.Urgent.begin(ctx, from)
	defer end()
	b, err := f.watch(ctx, from, urgent)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge) {
		return true, f.readAll(ctx)
	}
	if err != nil {
		f.cfg.Observe(0, err)
		return false, err
	}
	f.cfg.Observe(b.AsOf(), nil)
	if b.End() == from {
		f.cfg.Unchanged()
		return false, nil
	}
	return true, f.notifyApplied(f.cfg.Sink.Apply(b))
}

// watch watches from a revision. The urgent changes are followed separately from the header of the response on.
func (f *Follower[B, S]) watch(ctx context.Context, from pimid.Revision, urgent func()) (B, error) {
	if f.cfg.Urgent == nil {
		return f.cfg.Source.Watch(ctx, from, f.cfg.Hold())
	}
	return f.cfg.Urgent.Source.WatchAnswered(ctx, from, f.cfg.Hold(), urgent)
}

func (f *Follower[B, S]) readAll(ctx context.Context) error {
	snap, err := f.cfg.Source.Snapshot(ctx)
	if err != nil {
		f.cfg.Observe(0, err)
		return err
	}
	f.cfg.Observe(snap.AsOf(), nil)
	return f.notifyApplied(f.cfg.Sink.Restore(snap))
}

// notifyApplied calls Changed unless the sink refused the change; it returns the error of the sink.
func (f *Follower[B, S]) notifyApplied(err error) error {
	if err != nil {
		return err
	}
	f.cfg.Changed()
	return nil
}
