package pimonce

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Work describes a request to admission and to slot scheduling.
type Work struct {
	Service  pimid.ServiceID
	Contract pimid.ContractID
	Deadline pimclock.Instant
	// Idempotent allows a retry after a connection without progress.
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
	// Shed reports that the backend server answered 503 with Retry-After; the retry time is in Reply.RetryAfter.
	Shed bool
	// NoProgress reports that the connection stalled for the progress timeout while a new connection worked.
	NoProgress bool
	// Duration is the time that the attempt took, also without an answer.
	Duration time.Duration
}

// Refuser is implemented by errors that carry a reason and a retry time.
type Refuser interface {
	error
	Refusal() (reason pimedge.Reason, retryAfter time.Duration)
}

// Steps are the functions with which an Executor admits a request and acquires a slot for it.
type Steps struct {
	// Admit returns an error, usually a Refuser, if the contract's limits refuse the request.
	Admit func(ctx context.Context, w Work) error
	// Acquire returns a slot on a backend server outside the excluded ones.
	Acquire func(ctx context.Context, w Work, exclude []pimid.BackendID) (Slot, error)
}

// Send transmits the request to the backend server of the slot.
type Send func(ctx context.Context, s Slot) SendResult

// Executor runs requests in a fixed order: admit, acquire a slot, check the deadline, mark the request as sent, send it,
// release the slot.
type Executor struct {
	clock       pimclock.Clock
	steps       Steps
	retryBudget *RetryBudget
	// maxAttempts is the largest number of backend servers that one request tries.
	maxAttempts int
}

// NewExecutor returns an executor that retries within the budget.
func NewExecutor(clock pimclock.Clock, steps Steps, budget *RetryBudget) *Executor {
	const maxAttempts = 3
	return &Executor{clock: clock, steps: steps, retryBudget: budget, maxAttempts: maxAttempts}
}

// Execute runs one request. It retries on another backend server only if no backend server ran the request, or after a
// connection without progress if the request is idempotent.
func (e *Executor) Execute(ctx context.Context, w Work, t SendTracker, send Send) (reply pimedge.Reply) {
	e.retryBudget.Deposit(w.Contract)
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
		if !again || len(tried) == e.maxAttempts || !e.retryBudget.Take(w.Contract) {
			return reply
		}
	}
}

// combine returns the reply after two attempts: a request that may have run in the earlier attempt is never reported as
// not run.
func combine(earlier, next pimedge.Reply) pimedge.Reply {
	if earlier.Outcome == pimedge.OutcomeUnknown && next.Outcome == pimedge.OutcomeNotRun {
		return earlier
	}
	return next
}

// noSlotReply returns the reply if no slot was granted: that of the earlier attempts, or else the refusal in err.
func (e *Executor) noSlotReply(earlier pimedge.Reply, err error) pimedge.Reply {
	if earlier.Outcome != "" {
		return earlier
	}
	return refusalReply(err, pimedge.ReasonNoSlot)
}

// attempt sends the request to the backend server of one slot and reports whether it may be sent to another one.
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
	// If send panics, the request counts as sent without an answer.
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

// refusalReply builds the reply of a refused request; the given reason stands for errors that are no Refuser.
func refusalReply(err error, reason pimedge.Reason) pimedge.Reply {
	reply := notRun(reason)
	var r Refuser
	if errors.As(err, &r) {
		reply.Reason, reply.RetryAfter = r.Refusal()
	}
	return reply
}
