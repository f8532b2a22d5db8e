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

// bench records the order of the steps of one execution.
type bench struct {
	clock *pimclock.Manual
	steps []string
	// pause is the time that passes while the slot is acquired.
	pause    time.Duration
	excluded []pimid.BackendID
	results  []SendResult
}

func (b *bench) Commit() error { b.steps = append(b.steps, "commit"); return nil }
func (b *bench) Retract()      { b.steps = append(b.steps, "retract") }

func (b *bench) executor() *Executor {
	return NewExecutor(b.clock, Steps{
		Admit: func(context.Context, Work) error { b.steps = append(b.steps, "admit"); return nil },
		Acquire: func(_ context.Context, _ Work, exclude []pimid.BackendID) (Slot, error) {
			b.steps = append(b.steps, "acquire")
			b.excluded = slices.Clone(exclude)
			b.clock.Advance(b.pause)
			return Slot{
				Backend: pimid.BackendID(len(exclude) + 1), ExpiresAt: b.clock.Now().Add(time.Second),
				Release: func(SendResult) { b.steps = append(b.steps, "release") },
			}, nil
		},
	}, NewRetryBudget())
}

func (b *bench) send(context.Context, Slot) SendResult {
	b.steps = append(b.steps, "send")
	r := b.results[0]
	b.results = b.results[1:]
	return r
}

// TestExecutionOrder guards against a send before the deadline check or the hand-over mark, and against repetitions of
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
			b := &bench{clock: &pimclock.Manual{}, pause: c.pause, results: c.results}
			w := Work{Contract: 1, Deadline: b.clock.Now().Add(time.Second), Idempotent: c.idempotent}
			reply := b.executor().Execute(t.Context(), w, b, b.send)
			is.Equal(b.steps, c.steps)
			is.Equal(reply.Outcome, c.want)
		})
	}
}

// TestRetryBudget guards against repetitions beyond 10% of the requests when every attempt is refused.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	b := &bench{clock: &pimclock.Manual{}}
	e, sends := b.executor(), 0
	for range requests {
		w := Work{Contract: 1, Deadline: b.clock.Now().Add(time.Second)}
		e.Execute(t.Context(), w, Untracked{}, func(context.Context, Slot) SendResult {
			sends++
			return SendResult{Reply: notRun(pimedge.ReasonNoSlot), Shed: true}
		})
	}
	is.Equal(sends, requests+requests/10+1) // 10% and the first token
	is.True(len(b.excluded) <= 2)           // another backend server for each attempt
}

// refuserError is an error with a reason.
type refuserError struct{ error }

func (refuserError) Refusal() (reason pimedge.Reason, retryAfter time.Duration) {
	return pimedge.ReasonFlowLimit, time.Minute
}

// TestRefusalReason guards against refusals that lose their reason or retry time on the way to the caller.
func TestRefusalReason(t *testing.T) {
	is := is.New(t)
	e := NewExecutor(&pimclock.Manual{}, Steps{
		Admit: func(context.Context, Work) error { return refuserError{errors.New("limit")} },
	}, NewRetryBudget())
	reply := e.Execute(t.Context(), Work{}, Untracked{}, nil)
	is.Equal(reply, pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonFlowLimit, RetryAfter: time.Minute})
}
