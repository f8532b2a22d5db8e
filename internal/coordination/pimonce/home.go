package pimonce

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Home runs the requests whose tokens name this VM in its present incarnation, and those of homes whose records were
// handed over to it; it is safe for concurrent use.
type Home struct {
	clock pimclock.Clock
	unix  UnixClock
	self  HomeID

	mu        sync.Mutex
	store     *store
	transfers map[HomeID]*transfer
	// completeTransfers counts the complete handovers to this home.
	completeTransfers int
	running           int
	// idle is closed when no request is running; it is nil while nobody waits.
	idle    chan struct{}
	stopped bool
	// exported is set by Export; from then on, this home starts no request, since the successor may run it.
	exported  bool
	successor HomeID
}

// NewHome returns a home without records that accepts the requests of its own tokens at once.
func NewHome(cfg Config, self HomeID, clock pimclock.Clock, unix UnixClock) *Home {
	return &Home{clock: clock, unix: unix, self: self, store: newStore(cfg), transfers: map[HomeID]*transfer{}}
}

// begin finds or creates the record of a request; first reports that it was created. Without a record, the reply is
// final. The lock is held.
func (h *Home) begin(req Request) (rec *record, first bool, reply pimedge.Reply) {
	now := h.clock.Now()
	h.store.sweep(now)
	k := recordKey{home: req.Home, key: req.Key}
	end, accepted := h.permitEnd(now, req)
	if rec = h.store.records[k]; rec != nil {
		// A duplicate under a renewed token of the flow must find the record until that token's permit ends.
		rec.expires = max(rec.expires, end)
		return rec, false, reply
	}
	if reply, found := h.store.findRefusal(k, end); found {
		return nil, false, reply
	}
	switch {
	case !accepted || h.exported:
		return nil, false, pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonHomeLost}
	case !now.Before(end):
		return nil, false, pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonExpired}
	case h.stopped:
		return nil, false, h.refuse(k, req.Contract, end, pimedge.ReasonDraining)
	case !h.store.hasRoom(req.Contract):
		return nil, false, h.refuse(k, req.Contract, end, pimedge.ReasonOverload)
	}
	rec = &record{key: k, contract: req.Contract, expires: end}
	h.store.add(rec)
	h.running++
	return rec, true, reply
}

// refuse answers not_run and records it, since a later duplicate must not run after that answer. Without room for the
// record, a duplicate could still run, so the answer is unknown.
func (h *Home) refuse(k recordKey, c pimid.ContractID, end pimclock.Instant, reason pimedge.Reason) pimedge.Reply {
	if !h.store.hasRefusalRoom(c) {
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonOverload, RetryAfter: overloadRetryAfter}
	}
	reply := pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: reason, RetryAfter: overloadRetryAfter}
	h.store.addRefusal(k, c, end, reply)
	return reply
}

// Len returns the number of records and refusals, and the accounted size in bytes of the records without refusals.
func (h *Home) Len() (records, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.store.records) + len(h.store.refused), h.store.bytes
}
