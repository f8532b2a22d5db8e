package pimonce

import (
	"context"
	"sync"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Home runs the requests of the tokens that name this VM run, and of those whose records were handed over to it.
type Home struct {
	clock pimclock.Clock
	unix  UnixClock
	self  Origin

	mu      sync.Mutex
	store   *store
	adopted map[Origin]*adoption
	running int
	// idle is closed when no request is running; it is nil while nobody waits.
	idle      chan struct{}
	stopped   bool
	sealed    bool
	successor Origin
}

// NewHome returns a home that accepts requests at once.
func NewHome(cfg Config, self Origin, clock pimclock.Clock, unix UnixClock) *Home {
	return &Home{clock: clock, unix: unix, self: self, store: newStore(cfg), adopted: map[Origin]*adoption{}}
}

// Run executes the request if it is the first under its key; a duplicate gets the recorded reply or waits for it.
func (h *Home) Run(ctx context.Context, req Request, exec Exec) pimedge.Reply {
	rec, first, reply := h.begin(req)
	switch {
	case rec == nil:
		return reply
	case first:
		return h.execute(ctx, rec, exec)
	default:
		return h.join(ctx, rec)
	}
}

// begin finds or creates the record; without a record, the reply is final.
func (h *Home) begin(req Request) (rec *record, first bool, reply pimedge.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.store.sweep(now)
	k := recordKey{origin: req.Home, key: req.Key}
	end, known := h.permitEnd(now, req)
	if rec = h.store.records[k]; rec != nil {
		// A duplicate under a renewed token of the flow must find the record until that token's permit ends.
		rec.expires = max(rec.expires, end)
		return rec, false, reply
	}
	switch {
	case !known || h.sealed:
		return nil, false, pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonHomeLost}
	case !now.Before(end):
		return nil, false, pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonExpired}
	case h.stopped:
		return nil, false, h.refuse(k, end, pimedge.ReasonDraining)
	case !h.store.hasRoom():
		return nil, false, h.refuse(k, end, pimedge.ReasonOverload)
	}
	rec = &record{expires: end, done: make(chan struct{})}
	h.store.add(k, rec)
	h.running++
	return rec, true, reply
}

// refuse answers not_run and records it, since a later duplicate must not run after the caller was told so; without
// room for the record, the honest answer is unknown.
func (h *Home) refuse(k recordKey, end pimclock.Instant, reason pimedge.Reason) pimedge.Reply {
	if !h.store.hasRefusalRoom() {
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonOverload, RetryAfter: overloadRetry}
	}
	reply := pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: reason, RetryAfter: overloadRetry}
	h.store.add(k, &record{phase: phaseDone, refusal: true, expires: end, reply: reply})
	return reply
}

// execute runs the request in the goroutine of its first packet.
func (h *Home) execute(ctx context.Context, rec *record, exec Exec) (reply pimedge.Reply) {
	defer func() { reply = h.finish(rec, reply) }()
	return exec(ctx, &handoff{home: h, rec: rec})
}

// finish records the final reply; a record that was exported keeps the reply given to the successor.
func (h *Home) finish(rec *record, reply pimedge.Reply) pimedge.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if h.running == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
	if rec.phase == phaseDone {
		if reply.Outcome == pimedge.OutcomeNotRun || reply.Outcome == "" {
			return rec.reply
		}
		return reply
	}
	reply = settle(rec.phase, reply)
	h.conclude(rec, reply)
	return reply
}

// conclude makes the reply final and wakes the duplicates; the lock is held.
func (h *Home) conclude(rec *record, reply pimedge.Reply) {
	h.store.change(rec, func() { rec.phase, rec.reply = phaseDone, reply })
	close(rec.done)
}

// join waits for the reply of the first run.
func (h *Home) join(ctx context.Context, rec *record) pimedge.Reply {
	if rec.done == nil {
		return rec.reply
	}
	select {
	case <-rec.done:
		return rec.reply
	case <-ctx.Done():
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}
	}
}

// Len returns the number of records and their accounted bytes.
func (h *Home) Len() (records, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.store.records), h.store.bytes
}
