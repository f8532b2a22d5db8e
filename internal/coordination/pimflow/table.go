package pimflow

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Settings hold the times of the observation.
type Settings struct {
	// AnswerWithin is how long a caller needs to go on after an opening packet if the backend server has answered: two
	// round trips between data centres and to the caller.
	AnswerWithin time.Duration
	// RetransmitAfter is how long a caller waits for the confirmation of its data.
	RetransmitAfter time.Duration
	// RunningFor is how long a request counts as running without a sign of its end; the end of an answer that fits
	// one packet is not seen.
	RunningFor time.Duration
	// IdleFor is how long a silent flow is remembered.
	IdleFor time.Duration
	// SuspectMin and SuspectMax bound the time for which a backend server that does not answer is avoided.
	SuspectMin, SuspectMax time.Duration
	// PausedAfter is the time between two calls of Expire that shows that this VM stood still. For IgnoreMissesFor after that,
	// what callers repeat says nothing of the backend servers.
	PausedAfter, IgnoreMissesFor time.Duration
	// OnAnswer hears the time from each request to the first sign of its answer; nil means that nobody asks.
	OnAnswer func(d time.Duration)
	// MaxFlows bounds the table; flows beyond it are steered by their tags all the same.
	MaxFlows int
}

// DefaultSettings returns the times for data centres that are at most 10 ms apart.
func DefaultSettings() Settings {
	return Settings{
		AnswerWithin:    60 * time.Millisecond,
		RetransmitAfter: 200 * time.Millisecond,
		RunningFor:      500 * time.Millisecond,
		IdleFor:         20 * time.Second,
		SuspectMin:      500 * time.Millisecond,
		SuspectMax:      4 * time.Second,
		PausedAfter:     300 * time.Millisecond,
		IgnoreMissesFor: time.Second,
		MaxFlows:        100_000,
	}
}

// record is what is remembered of one flow.
type record struct {
	host pimcatalog.HostID
	// previousHost is the backend server that did not answer an previousHost copy of the opening packet.
	previousHost pimcatalog.HostID
	opening      bool
	openedAt     pimclock.Instant
	lastSeen     pimclock.Instant
	// sent is the end of the data of the caller, acked that of the data it has received.
	sent, acked pimpacket.Sequence
	// running is set from the request to the first sign of its answer.
	running      bool
	runningSince pimclock.Instant
	// requestedAt is when the last request was sent; it is zero once a sign of its answer was seen.
	requestedAt pimclock.Instant
	// countedAsMiss is set once the flow has counted as a packet without an answer, so that it counts once.
	countedAsMiss bool
}

// Table learns from the packets of callers; it is owned by one goroutine.
type Table struct {
	cfg   Settings
	flows map[pimpacket.Flow]*record
	hosts map[pimcatalog.HostID]*host
	// unanswered holds opening flows and unfinished the running requests, both in the order of their times.
	unanswered, unfinished flowQueue
	lastSweep              pimclock.Instant
	// lastExpire is the last call of Expire.
	lastExpire, ignoreMissesUntil pimclock.Instant
	suspicions                    []Suspicion
}

// Cause says why a backend server is suspected.
type Cause string

// The causes.
const (
	// CauseUnanswered is an opening packet without an answer.
	CauseUnanswered Cause = "unanswered"
	// CauseRepeated is data that the caller had to repeat.
	CauseRepeated Cause = "repeated"
)

// Suspicion is a packet without an answer.
type Suspicion struct {
	Host  pimcatalog.HostID
	Cause Cause
	// Misses is the number of such flows since the last sign of life.
	Misses int
}

// New returns an empty table.
func New(cfg Settings) *Table {
	return &Table{cfg: cfg, flows: map[pimpacket.Flow]*record{}, hosts: map[pimcatalog.HostID]*host{}}
}

// Len returns the number of flows that are remembered.
func (t *Table) Len() int { return len(t.flows) }

// Tried returns the backend servers that have not answered earlier copies of an opening packet; zero means none.
func (t *Table) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) {
	if r := t.flows[f]; r != nil && r.opening {
		return r.host, r.previousHost
	}
	return 0, 0
}

// RecordOpening records that an opening packet was sent to a backend server.
func (t *Table) RecordOpening(now pimclock.Instant, p *pimpacket.Packet, id pimcatalog.HostID) {
	r := t.flows[p.Flow]
	if r == nil {
		if len(t.flows) >= t.cfg.MaxFlows {
			return
		}
		r = &record{}
		t.flows[p.Flow] = r
	} else {
		t.uncount(now, r)
		r.previousHost = r.host
	}
	*r = record{
		host: id, previousHost: r.previousHost, opening: true, openedAt: now, lastSeen: now, sent: p.Seq + 1,
	}
	t.host(now, id).open++
	t.unanswered.push(p.Flow, now)
}

// RecordForwarded records a packet of an open flow that was sent to a backend server.
func (t *Table) RecordForwarded(now pimclock.Instant, p *pimpacket.Packet, id pimcatalog.HostID) {
	r := t.flows[p.Flow]
	if r == nil || r.host != id {
		if r = t.trackOpen(now, p, id); r == nil {
			return
		}
	}
	h := t.host(now, id)
	r.lastSeen = now
	if r.opening {
		r.opening, r.countedAsMiss, r.acked = false, false, p.Acked
		h.recordAnswer(now)
	}
	if p.Acked.After(r.acked) > 0 {
		r.acked, r.countedAsMiss, r.requestedAt = p.Acked, false, 0
		h.recordAnswer(now)
		t.finishRequest(now, r, h)
	}
	if p.Data > 0 {
		t.recordData(now, p, r, h)
	}
	if p.Flags.Has(pimpacket.Close) || p.Flags.Has(pimpacket.Reset) {
		t.uncount(now, r)
		delete(t.flows, p.Flow)
	}
}

// trackOpen remembers a flow that another VM has opened, or whose record named another backend server.
func (t *Table) trackOpen(now pimclock.Instant, p *pimpacket.Packet, id pimcatalog.HostID) *record {
	if old := t.flows[p.Flow]; old != nil {
		t.uncount(now, old)
		delete(t.flows, p.Flow)
	}
	if len(t.flows) >= t.cfg.MaxFlows || p.Flags.Has(pimpacket.Reset) || p.Flags.Has(pimpacket.Close) {
		return nil
	}
	r := &record{host: id, openedAt: now, lastSeen: now, acked: p.Acked, sent: p.Seq}
	t.flows[p.Flow] = r
	t.host(now, id).open++
	return r
}

// recordData records a request or its repetition.
func (t *Table) recordData(now pimclock.Instant, p *pimpacket.Packet, r *record, h *host) {
	end := p.Seq + pimpacket.Sequence(p.Data)
	if end.After(r.sent) <= 0 {
		// The backend server has not confirmed the data within the caller's retransmission time.
		t.recordMiss(now, now.Add(-t.cfg.RetransmitAfter), r, CauseRepeated)
		return
	}
	r.sent = end
	r.requestedAt = now
	if r.running {
		return
	}
	r.running, r.runningSince = true, now
	h.setBusy(now, h.busy+1)
	t.unfinished.push(p.Flow, now)
}

// finishRequest records the first sign of an answer.
func (t *Table) finishRequest(now pimclock.Instant, r *record, h *host) {
	if !r.running {
		return
	}
	r.running = false
	h.setBusy(now, h.busy-1)
	if t.cfg.OnAnswer != nil {
		t.cfg.OnAnswer(now.Sub(r.runningSince))
	}
}

// uncount takes a flow out of the counts of its backend server.
func (t *Table) uncount(now pimclock.Instant, r *record) {
	h := t.host(now, r.host)
	h.open--
	if r.running {
		r.running = false
		h.setBusy(now, h.busy-1)
	}
}

// recordMiss records a packet without an answer.
func (t *Table) recordMiss(now, sent pimclock.Instant, r *record, cause Cause) {
	h := t.host(now, r.host)
	if r.countedAsMiss || sent.Before(h.aliveAt) || now.Before(t.ignoreMissesUntil) {
		return
	}
	r.countedAsMiss = true
	h.addMiss(now, sent, cause, &t.cfg)
	t.suspicions = append(t.suspicions, Suspicion{Host: r.host, Cause: cause, Misses: h.misses})
}

// Suspicions returns the packets without an answer since the last call.
func (t *Table) Suspicions() (all []Suspicion) {
	all, t.suspicions = t.suspicions, nil
	return all
}

// Expire draws the conclusions that need no packet: opening packets without an answer and requests without an end.
// It is called at least every 100 ms.
func (t *Table) Expire(now pimclock.Instant) {
	t.detectPause(now)
	for f, at, ok := t.unanswered.popBefore(now.Add(-t.cfg.AnswerWithin)); ok; f, at, ok = t.unanswered.popBefore(now.Add(-t.cfg.AnswerWithin)) {
		if r := t.flows[f]; r != nil && r.opening && r.openedAt == at {
			t.recordMiss(now, at, r, CauseUnanswered)
		}
	}
	for f, at, ok := t.unfinished.popBefore(now.Add(-t.cfg.RunningFor)); ok; f, at, ok = t.unfinished.popBefore(now.Add(-t.cfg.RunningFor)) {
		if r := t.flows[f]; r != nil && r.running && r.runningSince == at {
			r.running = false
			h := t.host(now, r.host)
			h.setBusy(now, h.busy-1)
		}
	}
	t.sweep(now)
}

// Waiting is a flow whose request has no answer yet.
type Waiting struct {
	Flow  pimpacket.Flow
	Acked pimpacket.Sequence
}

// Abandon forgets the flows of a backend server that answers nobody and returns those that wait for an answer: their
// requests were under way at its last sign of life, or came later. The answer to an earlier one has arrived, though it was
// not seen if it fits one packet.
func (t *Table) Abandon(now pimclock.Instant, id pimcatalog.HostID) (waiting []Waiting) {
	from := t.host(now, id).aliveAt.Add(-t.cfg.RunningFor)
	for f, r := range t.flows {
		if r.host != id || r.opening {
			continue
		}
		if r.requestedAt != 0 && !r.requestedAt.Before(from) {
			waiting = append(waiting, Waiting{Flow: f, Acked: r.acked})
		}
		t.uncount(now, r)
		delete(t.flows, f)
	}
	return waiting
}

// sweepInterval is how often silent flows are looked for.
const sweepInterval = time.Second

// sweep forgets silent flows.
func (t *Table) sweep(now pimclock.Instant) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for f, r := range t.flows {
		if now.Sub(r.lastSeen) > t.cfg.IdleFor || r.opening && now.Sub(r.lastSeen) > openingFor {
			t.uncount(now, r)
			delete(t.flows, f)
		}
	}
}

// RecordOverload tells the table that this VM does not keep up with its packets: they have waited, so what callers repeat says
// nothing of the backend servers, and what they have repeated just before says no more.
func (t *Table) RecordOverload(now pimclock.Instant) {
	if !now.Before(t.ignoreMissesUntil) {
		t.clearAllMisses()
	}
	t.ignoreMissesUntil = max(t.ignoreMissesUntil, now.Add(t.cfg.IgnoreMissesFor))
}

// clearAllMisses forgets all packets without an answer.
func (t *Table) clearAllMisses() {
	t.suspicions = nil
	for _, h := range t.hosts {
		h.clearMisses()
	}
}

// detectPause notices that this VM stood still: then its own silence made the callers repeat their packets.
func (t *Table) detectPause(now pimclock.Instant) {
	wasPaused := t.lastExpire != 0 && now.Sub(t.lastExpire) > t.cfg.PausedAfter
	t.lastExpire = now
	if !wasPaused {
		return
	}
	t.ignoreMissesUntil = now.Add(t.cfg.IgnoreMissesFor)
	t.clearAllMisses()
}

// openingFor is how long callers repeat an opening packet, with the time for the last answer.
const openingFor = 2 * time.Second
