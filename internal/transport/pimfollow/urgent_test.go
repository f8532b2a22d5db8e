package pimfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// revisions is a batch or a snapshot that ends at a revision.
type revisions pimid.Revision

// End returns the revision.
func (r revisions) End() pimid.Revision { return pimid.Revision(r) }

// AsOf returns zero.
func (revisions) AsOf() pimclock.Instant { return 0 }

// sink stores the revision.
type sink struct{ revision atomic.Uint64 }

func (s *sink) Revision() pimid.Revision { return pimid.Revision(s.revision.Load()) }

func (s *sink) Apply(r revisions) error {
	s.revision.Store(uint64(r))
	return nil
}

func (s *sink) Restore(r revisions) error { return s.Apply(r) }

// slowSource begins to answer a watch at once; the rest of the answer arrives once body is closed. The urgent watches end as given.
type slowSource struct {
	body   chan struct{}
	urgent func(call int, from pimid.Revision) (revisions, error)
	calls  atomic.Int64
	ended  atomic.Int64
}

func (*slowSource) Snapshot(context.Context) (revisions, error) { return 5, nil }

func (s *slowSource) Watch(context.Context, pimid.Revision, time.Duration) (revisions, error) {
	return 0, errors.New("not watched for the header")
}

func (s *slowSource) WatchAnswered(ctx context.Context, from pimid.Revision, _ time.Duration, answered func()) (revisions, error) {
	if from > 5 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	answered()
	<-s.body
	return 9, nil
}

func (s *slowSource) WatchUrgent(ctx context.Context, from pimid.Revision, _ time.Duration) (revisions, error) {
	r, err := s.urgent(int(s.calls.Add(1)), from)
	if r == 0 && err == nil {
		<-ctx.Done()
		s.ended.Add(1)
		return 0, ctx.Err()
	}
	return r, err
}

// follow follows a source until it is at revision 9.
func follow(t *testing.T, s *slowSource, urgent *Urgent[revisions]) {
	t.Helper()
	done := make(chan struct{})
	var to sink
	urgent.Source = s
	_, cleanup := New(t.Context(), Config[revisions, revisions]{
		Source: s, Sink: &to, Urgent: urgent, Log: zerolog.Nop(),
		Backoff: NewBackoff(time.Millisecond, time.Millisecond, rand.New(rand.NewPCG(1, 1))),
		Changed: func() {
			if to.Revision() == 9 {
				close(done)
			}
		},
	})
	<-done
	cleanup()
}

// Guards against calls, which are priced, for responses that arrive at once.
func TestNoUrgentCallWhileResponsesArriveAtOnce(t *testing.T) {
	is := is.New(t)
	s := &slowSource{body: make(chan struct{})}
	close(s.body)
	follow(t, s, &Urgent[revisions]{After: time.Hour})
	is.Equal(s.calls.Load(), int64(0))
}

// Guards against urgent changes that wait for a response that arrives slowly, are asked for from a wrong revision, are not asked for
// any more after a failed call, or are still asked for after the response has arrived.
func TestUrgentChangesAreReadWhileAResponseArrives(t *testing.T) {
	is := is.New(t)
	errBusy := errors.New("busy")
	var froms, applied []pimid.Revision
	var failed []error
	s := &slowSource{body: make(chan struct{})}
	s.urgent = func(call int, from pimid.Revision) (revisions, error) {
		froms = append(froms, from)
		switch call {
		case 1:
			return 6, nil
		case 2:
			return 6, nil // no changes
		case 3:
			return 0, errBusy
		case 4:
			return 8, nil
		default:
			close(s.body)
			return 0, nil
		}
	}
	follow(t, s, &Urgent[revisions]{
		Apply: func(r revisions) { applied = append(applied, r.End()) }, Failed: func(err error) { failed = append(failed, err) },
	})
	is.Equal(froms, []pimid.Revision{5, 6, 6, 6, 8})
	is.Equal(applied, []pimid.Revision{6, 8})
	is.Equal(failed, []error{errBusy})
	is.Equal(s.ended.Load(), int64(1))
}

// Guards against calls that cannot succeed until the complete state is read.
func TestUrgentCallsEndWithTheHistory(t *testing.T) {
	is := is.New(t)
	s := &slowSource{body: make(chan struct{})}
	s.urgent = func(int, pimid.Revision) (revisions, error) {
		close(s.body) // a second call would close it again
		return 0, ErrCompacted
	}
	follow(t, s, &Urgent[revisions]{Failed: func(err error) { t.Errorf("failed: %v", err) }})
	is.Equal(s.calls.Load(), int64(1))
}
