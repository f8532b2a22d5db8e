package pimonce

import (
	"context"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// Running is a request that the caller of Start has to execute; there is at most one for each key.
type Running struct {
	home *Home
	rec  *record
}

// Start records the request without blocking. It returns a Running if the caller has to execute the request; otherwise
// notify is called exactly once with the final reply, at once or when the first run ends.
func (h *Home) Start(req Request, notify func(pimedge.Reply)) *Running {
	h.mu.Lock()
	rec, first, reply := h.begin(req)
	if first {
		h.mu.Unlock()
		return &Running{home: h, rec: rec}
	}
	if rec != nil {
		if rec.phase != phaseDone {
			rec.notify = append(rec.notify, notify)
			h.mu.Unlock()
			return nil
		}
		reply = rec.reply
	}
	h.mu.Unlock()
	notify(reply)
	return nil
}

// Run executes the request if it is the first under its key; a duplicate gets the recorded reply or waits for it. If the
// ctx of a duplicate ends first, the reply is unknown.
func (h *Home) Run(ctx context.Context, req Request, exec Exec) pimedge.Reply {
	replies := make(chan pimedge.Reply, 1)
	r := h.Start(req, func(reply pimedge.Reply) { replies <- reply })
	if r != nil {
		return r.execute(ctx, exec)
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}
	}
}

// execute finishes the record even if exec panics.
func (r *Running) execute(ctx context.Context, exec Exec) (reply pimedge.Reply) {
	defer func() { reply = r.Finish(reply) }()
	return exec(ctx, r)
}

// Commit marks the request as sent; it fails once the reply is final or the permit of the token has ended.
func (r *Running) Commit() (err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "mark request as sent") }()
	h := r.home
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case r.rec.phase == phaseDone:
		return ErrStopped
	case !h.clock.Now().Before(r.rec.expires):
		return ErrPermitEnded
	}
	r.rec.phase = phaseSent
	return nil
}

// Retract undoes Commit, after the backend server said that it did not run the request.
func (r *Running) Retract() {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	if r.rec.phase == phaseSent {
		r.rec.phase = phasePending
	}
}

// Finish records the final reply and returns the one to send to the caller; it must be called exactly once. If the
// records were exported while the request ran, the record keeps the reply that the successor got.
func (r *Running) Finish(reply pimedge.Reply) pimedge.Reply {
	h := r.home
	h.mu.Lock()
	h.running--
	if h.running == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
	if r.rec.phase == phaseDone {
		if reply.Outcome != pimedge.OutcomeAnswered && reply.Outcome != pimedge.OutcomeFailed {
			reply = r.rec.reply
		}
		h.mu.Unlock()
		return reply
	}
	reply = finalReply(r.rec.phase, reply)
	waiting := h.conclude(r.rec, reply)
	h.mu.Unlock()
	notifyAll(waiting, reply)
	return reply
}

// conclude makes the reply final and returns the functions that notify the waiting duplicates; the lock is held.
func (h *Home) conclude(rec *record, reply pimedge.Reply) (waiting []func(pimedge.Reply)) {
	h.store.conclude(rec, reply)
	waiting, rec.notify = rec.notify, nil
	return waiting
}

func notifyAll(waiting []func(pimedge.Reply), reply pimedge.Reply) {
	for _, notify := range waiting {
		notify(reply)
	}
}

// Untracked is the SendTracker of idempotent requests, which need no record.
type Untracked struct{}

// Commit always succeeds.
func (Untracked) Commit() error { return nil }

// Retract does nothing.
func (Untracked) Retract() {}
