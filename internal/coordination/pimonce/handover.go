package pimonce

import (
	"context"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// overloadRetryAfter is the retry time of refusals because the home has stopped or its store is full: a later attempt
// needs a new token or free room in the store.
const overloadRetryAfter = time.Second

// maxBatchRecords and maxBatchBytes bound the size of one handover message.
const (
	maxBatchRecords = 512
	maxBatchBytes   = 256 << 10
)

// transfer is the state of the handover of one home's records to this home.
type transfer struct {
	// complete is set when all records have arrived; only then may new requests of that home run here.
	complete bool
	// position is the number of this transfer in the order of completion, from 1.
	position int
	// validUntil is the time by which the permits of all tokens of that home have ended.
	validUntil pimclock.Instant
}

// permitEnd returns the end of the permit of the request's token and whether this home may run requests of the home
// that the token names.
func (h *Home) permitEnd(now pimclock.Instant, req Request) (end pimclock.Instant, accepted bool) {
	end = h.unix.Instant(req.IssuedAt).Add(PermitLifetime)
	if req.Home == h.self {
		return end, true
	}
	t := h.transfers[req.Home]
	if t == nil || !t.complete {
		return end, false
	}
	if !now.Before(t.validUntil) {
		delete(h.transfers, req.Home)
		return end, false
	}
	return min(end.Add(-h.store.cfg.MaxSkew), t.validUntil), true
}

// Accepts reports whether this home may run requests of the given home: its own, and those of homes whose records were
// handed over to it completely.
func (h *Home) Accepts(home HomeID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.transfers[home]
	return home == h.self || t != nil && t.complete && h.clock.Now().Before(t.validUntil)
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

// Export returns all records for one successor. Requests that run but are not sent yet can no longer be sent. It fails
// with ErrNotStopped before Stop, and with ErrOtherSuccessor for a second successor, since both could run the same
// request.
func (h *Home) Export(successor HomeID) (batches []Batch, err error) {
	defer func() { err = oops.In("pimonce").Wrapf(err, "export records") }()
	var notifications []func()
	h.mu.Lock()
	defer func() {
		h.mu.Unlock()
		for _, notify := range notifications {
			notify()
		}
	}()
	switch {
	case !h.stopped:
		return nil, ErrNotStopped
	case h.exported && h.successor != successor:
		return nil, ErrOtherSuccessor
	}
	h.exported, h.successor = true, successor
	now := h.clock.Now()
	h.store.sweep(now)
	notifications = h.concludeAll()
	return h.batches(now), nil
}

// concludeAll makes the replies of running requests final; the lock is held, the returned functions are to be called
// without it.
func (h *Home) concludeAll() (notifications []func()) {
	for _, r := range h.store.records {
		if r.phase == phaseDone {
			continue
		}
		reply := defaultReply(r.phase)
		waiting := h.conclude(r, reply)
		notifications = append(notifications, func() { notifyAll(waiting, reply) })
	}
	return notifications
}

// acceptedHomes returns the homes whose records this home hands over, in the order in which they stopped, and itself
// last. A request whose home has stopped is relayed along the chain of successors, and a VM that accepts any home of that
// chain takes it. So a successor must accept the homes in the order of their stops, or else it could take a request whose
// records it does not hold yet. The lock is held.
func (h *Home) acceptedHomes(now pimclock.Instant) (homes []HomeID) {
	for id, t := range h.transfers {
		if t.complete && now.Before(t.validUntil) {
			homes = append(homes, id)
		}
	}
	slices.SortFunc(homes, func(a, b HomeID) int { return h.transfers[a].position - h.transfers[b].position })
	return append(homes, h.self)
}

// batches splits the records by home and size; the lock is held.
func (h *Home) batches(now pimclock.Instant) (batches []Batch) {
	homes := h.acceptedHomes(now)
	writers := map[HomeID]*batchWriter{}
	for _, id := range homes {
		writers[id] = &batchWriter{home: id}
	}
	for k, r := range h.store.records {
		if w := writers[k.home]; w != nil {
			w.add(Record{Key: k.key, Reply: r.reply, Keep: r.expires.Sub(now)}, r.size())
		}
	}
	for k, r := range h.store.refused {
		if w := writers[k.home]; w != nil {
			w.add(Record{Key: k.key, Reply: r.reply(), Keep: r.expires.Sub(now)}, recordBytes)
		}
	}
	for _, id := range homes {
		batches = append(batches, writers[id].finish()...)
	}
	return batches
}

// batchWriter collects the batches of one home.
type batchWriter struct {
	home    HomeID
	done    []Batch
	records []Record
	bytes   int
}

func (w *batchWriter) add(r Record, size int) {
	if len(w.records) > 0 && (len(w.records) == maxBatchRecords || w.bytes+size > maxBatchBytes) {
		w.done = append(w.done, Batch{Home: w.home, Records: w.records})
		w.records, w.bytes = nil, 0
	}
	w.records = append(w.records, r)
	w.bytes += size
}

func (w *batchWriter) finish() []Batch {
	return append(w.done, Batch{Home: w.home, Records: w.records, Last: true})
}

// Import takes over records from a predecessor, which sends the last batch after all others have been accepted. It fails
// with ErrRecordLimits if the records exceed the memory limits.
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
	t := h.transfers[b.Home]
	if t == nil {
		t = &transfer{validUntil: now.Add(PermitLifetime)}
		h.transfers[b.Home] = t
	}
	for _, r := range b.Records {
		if !h.importRecord(now, b.Home, r) {
			return ErrRecordLimits
		}
	}
	if b.Last && !t.complete {
		h.completeTransfers++
		t.complete, t.position = true, h.completeTransfers
	}
	return nil
}

// importRecord stores one record; it returns false if the memory limits are exceeded. The lock is held.
func (h *Home) importRecord(now pimclock.Instant, home HomeID, r Record) bool {
	k := recordKey{home: home, key: r.Key}
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
