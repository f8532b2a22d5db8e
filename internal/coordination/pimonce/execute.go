package pimonce

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Work describes a request for admission and scheduling.
type Work struct {
	Service  pimid.ServiceID
	Contract pimid.ContractID
	Deadline pimclock.Instant
	// Idempotent allows a repetition after a silent connection.
	Idempotent bool
}

// Slot is the permission to use one backend server until ExpiresAt.
type Slot struct {
	Backend    pimid.BackendID
	Generation pimid.Generation
	ExpiresAt  pimclock.Instant
	// Release returns the slot; it is called exactly once.
	Release func(SendResult)
}

// SendResult is what the sender observed. Outcome not_run asserts that the backend server did not run the request.
type SendResult struct {
	Reply pimedge.Reply
	// Shed reports a 503 with Retry-After; the retry time is in Reply.RetryAfter.
	Shed       bool
	NoProgress bool
	Duration   time.Duration
}

// Refuser is implemented by errors that carry a reason and a retry time.
type Refuser interface {
	error
	Refusal() (reason pimedge.Reason, retryAfter time.Duration)
}

// Steps are the injected parts of an execution.
type Steps struct {
	// Admit returns an error that is a Refuser if the contract's limits refuse the request.
	Admit func(ctx context.Context, w Work) error
	// Acquire returns a slot on a backend server outside the excluded ones.
	Acquire func(ctx context.Context, w Work, exclude []pimid.BackendID) (Slot, error)
}

// Send transmits the request to the backend server of the slot.
type Send func(ctx context.Context, s Slot) SendResult

// Executor runs requests in the fixed order: admit, acquire a slot, check the deadline, hand over, send, release.
type Executor struct {
	clock   pimclock.Clock
	steps   Steps
	retries *RetryBudget
	// maxAttempts bounds the backend servers that one request tries.
	maxAttempts int
}

// NewExecutor returns an executor that retries within the budget.
func NewExecutor(clock pimclock.Clock, steps Steps, budget *RetryBudget) *Executor {
	const maxAttempts = 3
	return &Executor{clock: clock, steps: steps, retries: budget, maxAttempts: maxAttempts}
}

// Execute runs one request; only attempts that no backend server ran are repeated, on another backend server.
func (e *Executor) Execute(ctx context.Context, w Work, t SendTracker, send Send) (reply pimedge.Reply) {
	e.retries.Deposit(w.Contract)
	if err := e.steps.Admit(ctx, w); err != nil {
		return refusalReply(err, pimedge.ReasonRateLimit)
	}
	var tried []pimid.BackendID
	for {
		slot, err := e.steps.Acquire(ctx, w, tried)
		if err != nil {
			return e.noSlotReply(reply, err)
		}
		tried = append(tried, slot.Backend)
		next, again := e.attempt(ctx, w, slot, t, send)
		reply = combine(reply, next)
		if !again || len(tried) == e.maxAttempts || !e.retries.Take(w.Contract) {
			return reply
		}
	}
}

// combine joins the replies of two attempts: a request whose first attempt may have run is never reported as not run.
func combine(earlier, next pimedge.Reply) pimedge.Reply {
	if earlier.Outcome == pimedge.OutcomeUnknown && next.Outcome == pimedge.OutcomeNotRun {
		return earlier
	}
	return next
}

// noSlotReply answers when no slot is left; the reply of an earlier attempt that the backend server refused stands.
func (e *Executor) noSlotReply(earlier pimedge.Reply, err error) pimedge.Reply {
	if earlier.Outcome != "" {
		return earlier
	}
	return refusalReply(err, pimedge.ReasonNoSlot)
}

// attempt uses one slot and reports whether the request may be repeated elsewhere.
func (e *Executor) attempt(ctx context.Context, w Work, s Slot, t SendTracker, send Send) (reply pimedge.Reply, again bool) {
	result := SendResult{Reply: notRun(pimedge.ReasonDeadline)}
	defer func() { s.Release(result) }()
	if now := e.clock.Now(); !now.Before(w.Deadline) || !now.Before(s.ExpiresAt) {
		return result.Reply, false
	}
	if err := t.Commit(); err != nil {
		result.Reply = notRun(pimedge.ReasonDraining)
		return result.Reply, false
	}
	// A panic in the sender leaves the request handed over without an answer.
	result = SendResult{Reply: pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}}
	result = send(ctx, s)
	if result.Reply.Outcome == pimedge.OutcomeNotRun {
		t.Retract()
		return result.Reply, true
	}
	return result.Reply, w.Idempotent && result.NoProgress
}

func notRun(reason pimedge.Reason) pimedge.Reply {
	return pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: reason}
}

// refusalReply builds the reply of a refused request; errors without a reason get the given one.
func refusalReply(err error, reason pimedge.Reason) pimedge.Reply {
	reply := notRun(reason)
	var r Refuser
	if errors.As(err, &r) {
		reply.Reason, reply.RetryAfter = r.Refusal()
	}
	return reply
}
