package pimonce

import (
	"context"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// overloadRetry is the retry time of refusals that need a new token or a drained store.
const overloadRetry = time.Second

// maxBatchRecords and maxBatchBytes bound one handover message.
const (
	maxBatchRecords = 512
	maxBatchBytes   = 256 << 10
)

// adoption is the state of a predecessor's transfer.
type adoption struct {
	// complete is set when all records have arrived; only then may new requests of the origin run.
	complete bool
	// position counts the transfers that were complete before this one.
	position int
	// until is when the last permit of the origin has surely ended.
	until pimclock.Instant
}

// permitEnd returns the end of the request's permit and whether this home may run requests of its origin.
func (h *Home) permitEnd(now pimclock.Instant, req Request) (end pimclock.Instant, known bool) {
	end = h.unix.Instant(req.IssuedAt).Add(PermitLifetime)
	if req.Home == h.self {
		return end, true
	}
	a := h.adopted[req.Home]
	if a == nil || !a.complete {
		return end, false
	}
	if !now.Before(a.until) {
		delete(h.adopted, req.Home)
		return end, false
	}
	return min(end.Add(-h.store.cfg.MaxSkew), a.until), true
}

// Accepts reports whether this home may run requests of an origin: its own, or one whose records were handed over.
func (h *Home) Accepts(origin HomeID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.adopted[origin]
	return origin == h.self || a != nil && a.complete && h.clock.Now().Before(a.until)
}

// Stop permanently ends the acceptance of new requests.
func (h *Home) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

// Drain waits until no request is running or ctx ends.
func (h *Home) Drain(ctx context.Context) (err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "drain requests") }()
	idle := h.idleChannel()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (h *Home) idleChannel() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == 0 {
		return nil
	}
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	return h.idle
}

// Export returns all records for one successor. Requests that still run can no longer be handed over; it fails with
// ErrOtherSuccessor for a second successor, since two of them could run the same request.
func (h *Home) Export(successor HomeID) (batches []Batch, err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "export records") }()
	var notices []func()
	h.mu.Lock()
	defer func() {
		h.mu.Unlock()
		for _, notice := range notices {
			notice()
		}
	}()
	switch {
	case !h.stopped:
		return nil, ErrNotStopped
	case h.sealed && h.successor != successor:
		return nil, ErrOtherSuccessor
	}
	h.sealed, h.successor = true, successor
	now := h.clock.Now()
	h.store.sweep(now)
	notices = h.concludeAll()
	return h.batches(now), nil
}

// concludeAll makes the replies of running requests final; the lock is held and the notices are called without it.
func (h *Home) concludeAll() (notices []func()) {
	for _, r := range h.store.records {
		if r.phase == phaseDone {
			continue
		}
		reply := unsettled(r.phase)
		waiting := h.conclude(r, reply)
		notices = append(notices, func() { notifyAll(waiting, reply) })
	}
	return notices
}

// origins returns the origins whose records this home hands over, in the order of their stops and the own one last. A
// request of the first VM of a chain is sent along the chain to the first home that accepts one of its origins, so a
// successor must not accept a later origin before an earlier one. The lock is held.
func (h *Home) origins(now pimclock.Instant) (origins []HomeID) {
	for o, a := range h.adopted {
		if a.complete && now.Before(a.until) {
			origins = append(origins, o)
		}
	}
	slices.SortFunc(origins, func(a, b HomeID) int { return h.adopted[a].position - h.adopted[b].position })
	return append(origins, h.self)
}

// batches splits the records by origin and size; the lock is held.
func (h *Home) batches(now pimclock.Instant) (batches []Batch) {
	origins := h.origins(now)
	open := map[HomeID]*batchWriter{}
	for _, o := range origins {
		open[o] = &batchWriter{origin: o}
	}
	for k, r := range h.store.records {
		if w := open[k.origin]; w != nil {
			w.add(Record{Key: k.key, Reply: r.reply, Keep: r.expires.Sub(now)}, r.size())
		}
	}
	for k, r := range h.store.refused {
		if w := open[k.origin]; w != nil {
			w.add(Record{Key: k.key, Reply: r.reply(), Keep: r.expires.Sub(now)}, recordBytes)
		}
	}
	for _, o := range origins {
		batches = append(batches, open[o].finish()...)
	}
	return batches
}

// batchWriter collects the batches of one origin.
type batchWriter struct {
	origin  HomeID
	done    []Batch
	records []Record
	bytes   int
}

func (w *batchWriter) add(r Record, size int) {
	if len(w.records) > 0 && (len(w.records) == maxBatchRecords || w.bytes+size > maxBatchBytes) {
		w.done = append(w.done, Batch{Home: w.origin, Records: w.records})
		w.records, w.bytes = nil, 0
	}
	w.records = append(w.records, r)
	w.bytes += size
}

func (w *batchWriter) finish() []Batch {
	return append(w.done, Batch{Home: w.origin, Records: w.records, Last: true})
}

// Import takes over records of a predecessor; the sender sends the last batch after all others were accepted.
func (h *Home) Import(b Batch) (err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "import records") }()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case b.Home == h.self:
		return ErrOwnRecords
	case h.stopped:
		return ErrStopped
	}
	now := h.clock.Now()
	h.store.sweep(now)
	a := h.adopted[b.Home]
	if a == nil {
		a = &adoption{until: now.Add(PermitLifetime)}
		h.adopted[b.Home] = a
	}
	for _, r := range b.Records {
		if !h.importRecord(now, b.Home, r) {
			return ErrRecordLimits
		}
	}
	if b.Last && !a.complete {
		h.transfers++
		a.complete, a.position = true, h.transfers
	}
	return nil
}

// importRecord stores one record; it returns false if the memory limits are exceeded. The lock is held.
func (h *Home) importRecord(now pimclock.Instant, o HomeID, r Record) bool {
	k := recordKey{origin: o, key: r.Key}
	if _, refused := h.store.refused[k]; refused || h.store.records[k] != nil {
		return true
	}
	expires := now.Add(r.Keep)
	if isRefusal(r.Reply) && h.store.hasRefusalRoom(0) {
		h.store.addRefusal(k, 0, expires, r.Reply)
		return true
	}
	if !h.store.hasRoom(0) {
		return false
	}
	h.store.add(&record{key: k, phase: phaseDone, expires: expires, reply: r.Reply})
	return true
}
