package pimonce

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// stepRecorder provides the steps of one execution and records their order.
type stepRecorder struct {
	clock *pimclock.Manual
	steps []string
	// pause is the time that passes while the slot is acquired.
	pause        time.Duration
	lastExcluded []pimid.BackendID
	results      []SendResult
}

func (s *stepRecorder) Commit() error { s.steps = append(s.steps, "commit"); return nil }
func (s *stepRecorder) Retract()      { s.steps = append(s.steps, "retract") }

func (s *stepRecorder) executor() *Executor {
	return NewExecutor(s.clock, Steps{
		Admit: func(context.Context, Work) error { s.steps = append(s.steps, "admit"); return nil },
		Acquire: func(_ context.Context, _ Work, exclude []pimid.BackendID) (Slot, error) {
			s.steps = append(s.steps, "acquire")
			s.lastExcluded = slices.Clone(exclude)
			s.clock.Advance(s.pause)
			return Slot{
				Backend: pimid.BackendID(len(exclude) + 1), ExpiresAt: s.clock.Now().Add(time.Second),
				Release: func(SendResult) { s.steps = append(s.steps, "release") },
			}, nil
		},
	}, NewRetryBudget())
}

func (s *stepRecorder) send(context.Context, Slot) SendResult {
	s.steps = append(s.steps, "send")
	r := s.results[0]
	s.results = s.results[1:]
	return r
}

// TestExecutionOrder guards against a send before the deadline check or the Commit, and against retries of non-idempotent
// requests that may have run.
func TestExecutionOrder(t *testing.T) {
	shed := SendResult{Reply: notRun(pimedge.ReasonNoSlot), Shed: true}
	silent := SendResult{Reply: pimedge.Reply{Outcome: pimedge.OutcomeUnknown}, NoProgress: true}
	ok := SendResult{Reply: answered}
	start := []string{"admit", "acquire", "commit", "send"}
	cases := []struct {
		name       string
		pause      time.Duration
		idempotent bool
		results    []SendResult
		steps      []string
		want       pimedge.Outcome
	}{
		{"answered", 0, false, []SendResult{ok}, append(slices.Clone(start), "release"), pimedge.OutcomeAnswered},
		{"paused beyond the deadline", time.Second, false, nil, []string{"admit", "acquire", "release"}, pimedge.OutcomeNotRun},
		{"silent", 0, false, []SendResult{silent}, append(slices.Clone(start), "release"), pimedge.OutcomeUnknown},
		{
			"shed, then answered", 0, false,
			[]SendResult{shed, ok},
			append(slices.Clone(start), "retract", "release", "acquire", "commit", "send", "release"), pimedge.OutcomeAnswered,
		},
		{
			"idempotent, silent, then shed", 0, true,
			[]SendResult{silent, shed},
			append(slices.Clone(start), "release", "acquire", "commit", "send", "retract", "release"), pimedge.OutcomeUnknown,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &stepRecorder{clock: &pimclock.Manual{}, pause: c.pause, results: c.results}
			w := Work{Contract: 1, Deadline: s.clock.Now().Add(time.Second), Idempotent: c.idempotent}
			reply := s.executor().Execute(t.Context(), w, s, s.send)
			is.Equal(s.steps, c.steps)
			is.Equal(reply.Outcome, c.want)
		})
	}
}

// TestRetryBudget guards against retries beyond 10% of the requests when backend servers refuse every attempt.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	s := &stepRecorder{clock: &pimclock.Manual{}}
	e, sends := s.executor(), 0
	for range requests {
		w := Work{Contract: 1, Deadline: s.clock.Now().Add(time.Second)}
		e.Execute(t.Context(), w, Untracked{}, func(context.Context, Slot) SendResult {
			sends++
			return SendResult{Reply: notRun(pimedge.ReasonNoSlot), Shed: true}
		})
	}
	is.Equal(sends, requests+requests/10+1) // 10% and the retry that a contract starts with
	is.True(len(s.lastExcluded) <= 2)       // another backend server for each attempt
}

// refuserError is a Refuser.
type refuserError struct{ error }

func (refuserError) Refusal() (reason pimedge.Reason, retryAfter time.Duration) {
	return pimedge.ReasonFlowLimit, time.Minute
}

// TestRefusalReason guards against replies without the reason or the retry time of the refusal.
func TestRefusalReason(t *testing.T) {
	is := is.New(t)
	e := NewExecutor(&pimclock.Manual{}, Steps{
		Admit: func(context.Context, Work) error { return refuserError{errors.New("limit")} },
	}, NewRetryBudget())
	reply := e.Execute(t.Context(), Work{}, Untracked{}, nil)
	is.Equal(reply, pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonFlowLimit, RetryAfter: time.Minute})
}
