package pimflow

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Settings hold the time limits of the observation and the bound of the table.
type Settings struct {
	// AnswerWithin is the longest time from an opening packet to the next packet of the caller if the backend server
	// answers: two round trips between data centres and to the caller.
	AnswerWithin time.Duration
	// RetransmitAfter is how long a caller waits for an acknowledgement before it sends its data again.
	RetransmitAfter time.Duration
	// RunningFor is how long a request counts as running if no packet of the caller shows its answer; an answer that fits
	// one packet is not seen.
	RunningFor time.Duration
	// MaxPerSlot is the number of requests, running and queued, that a backend server takes for each slot.
	MaxPerSlot float64
	// IdleFor is how long a flow without packets is kept.
	IdleFor time.Duration
	// SuspectMin and SuspectMax bound the time for which new flows avoid a backend server that does not answer.
	SuspectMin, SuspectMax time.Duration
	// PausedAfter is the time between two calls of Expire above which this VM counts as paused. For IgnoreMissesFor after
	// a pause or an overload, misses are not counted: callers send packets again because of this VM, whatever the backend
	// servers do.
	PausedAfter, IgnoreMissesFor time.Duration
	// OnAnswer is called with the time from each request to the first sign of its answer; nil disables it.
	OnAnswer func(d time.Duration)
	// MaxFlows bounds the table; packets of flows beyond it are still forwarded by their tags.
	MaxFlows int
}

// DefaultSettings returns the settings for data centres that are at most 10 ms apart.
func DefaultSettings() Settings {
	return Settings{
		AnswerWithin:    60 * time.Millisecond,
		RetransmitAfter: 200 * time.Millisecond,
		RunningFor:      500 * time.Millisecond,
		MaxPerSlot:      5,
		IdleFor:         20 * time.Second,
		SuspectMin:      500 * time.Millisecond,
		SuspectMax:      4 * time.Second,
		PausedAfter:     300 * time.Millisecond,
		IgnoreMissesFor: time.Second,
		MaxFlows:        100_000,
	}
}

// record is the state of one flow.
type record struct {
	host pimcatalog.HostID
	// previousHost is the backend server that did not answer an earlier transmission of the opening packet.
	previousHost pimcatalog.HostID
	// opening is set until the caller has sent a packet after its opening packet.
	opening  bool
	openedAt pimclock.Instant
	lastSeen pimclock.Instant
	// sent is the sequence number after the last byte from the caller, acked the last number that the caller acknowledged.
	sent, acked pimpacket.Sequence
	// running is set from the request to the first sign of its answer, for at most RunningFor.
	running      bool
	runningSince pimclock.Instant
	// isExpected is set from the opening packet to the first request, for at most RunningFor.
	isExpected bool
	// requestedAt is when the last request was forwarded; it is zero once a sign of its answer was seen.
	requestedAt pimclock.Instant
	// requests is the number of requests, and foundIdle is set if the running one found its backend server idle and was not
	// sent again.
	requests  uint32
	foundIdle bool
	// ahead is the number of requests under way at the backend server when the running one began, itself included.
	ahead float64
	// countedAsMiss is set once the flow has been counted as a miss, so that data that is retransmitted several times
	// counts once. A sign of an answer or a retransmission of the opening packet clears it.
	countedAsMiss bool
}

// Table tracks flows and backend servers by the packets of callers; it is owned by one goroutine.
type Table struct {
	cfg   Settings
	flows map[pimpacket.Flow]*record
	hosts map[pimcatalog.HostID]*host
	// sightings holds flows without a record, whose backend servers are unknown or have ended.
	sightings map[pimpacket.Flow]sighting
	// works holds the answer times of routes by their published addresses.
	works map[netip.AddrPort][]*work
	// occupancies holds the occupancy of each class.
	occupancies map[class]*occupancy
	// nextReport is the backend server with which the next report begins.
	nextReport pimcatalog.HostID
	// unanswered holds the opening flows and unfinished the flows with running requests, both oldest first.
	unanswered, unfinished flowQueue
	lastSweep              pimclock.Instant
	// lastExpire is the last call of Expire; misses are not counted before ignoreMissesUntil.
	lastExpire, ignoreMissesUntil pimclock.Instant
	suspicions                    []Suspicion
	// unknown is what was observed elsewhere of an unknown backend server; it stays zero.
	unknown Elsewhere
}

// Cause says why a backend server is suspected.
type Cause string

// The causes.
const (
	// CauseUnanswered means that the caller did not go on after its opening packet within AnswerWithin.
	CauseUnanswered Cause = "unanswered"
	// CauseRetransmitted means that the caller sent the same data again.
	CauseRetransmitted Cause = "repeated"
)

// Suspicion reports a miss: a flow with a packet that the backend server did not answer.
type Suspicion struct {
	Host  pimcatalog.HostID
	Cause Cause
	// Misses is the number of misses of the backend server since its last sign of life.
	Misses int
}

// New returns an empty table.
func New(cfg Settings) *Table {
	return &Table{
		cfg: cfg, flows: map[pimpacket.Flow]*record{}, hosts: map[pimcatalog.HostID]*host{},
		sightings: map[pimpacket.Flow]sighting{}, works: map[netip.AddrPort][]*work{}, occupancies: map[class]*occupancy{},
	}
}

// Len returns the number of flows in the table.
func (t *Table) Len() int { return len(t.flows) }

// Tried returns the backend servers that have not answered earlier transmissions of an opening packet; zero means none.
func (t *Table) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) {
	if r := t.flows[f]; r != nil && r.opening {
		return r.host, r.previousHost
	}
	return 0, 0
}

// RecordOpening records that an opening packet, or a retransmission of one, was forwarded to a backend server.
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
	t.expectRequest(now, p.Flow, r)
}

// RecordForwarded records that a packet of an open flow was forwarded to a backend server. The first packet after the
// opening packet and each acknowledgement of more data are signs of life of the backend server.
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
		t.learn(now, p, r, h)
		t.learnOccupancy(now, p, r, h)
		r.acked, r.countedAsMiss, r.requestedAt = p.Acked, false, 0
		h.recordAnswer(now)
		t.finishRequest(now, r, h)
	}
	if p.Data > 0 {
		t.recordData(now, p, r)
	}
	if p.Flags.Has(pimpacket.Close) || p.Flags.Has(pimpacket.Reset) {
		t.uncount(now, r)
		delete(t.flows, p.Flow)
	}
}

// trackOpen adds an open flow that has no record, since another VM forwarded its opening packet, or whose record names
// another backend server. It returns nil if the table is full or the packet ends the flow.
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

// recordData records a request, or a miss if the caller sends data again.
func (t *Table) recordData(now pimclock.Instant, p *pimpacket.Packet, r *record) {
	end := p.Seq + pimpacket.Sequence(p.Data)
	if end.After(r.sent) <= 0 {
		// The backend server has not acknowledged the data within the caller's retransmission time.
		r.foundIdle = false
		t.recordMiss(now, now.Add(-t.cfg.RetransmitAfter), r, CauseRetransmitted)
		return
	}
	r.sent = end
	r.requestedAt = now
	t.startRequest(now, p.Flow, r)
}

// expectRequest counts the first request of a flow that opens, which follows within a round trip.
func (t *Table) expectRequest(now pimclock.Instant, f pimpacket.Flow, r *record) {
	r.isExpected = true
	t.host(now, r.host).expected++
	t.unfinished.push(f, now)
}

// endExpected ends the count of a request that has arrived or will not.
func (t *Table) endExpected(now pimclock.Instant, r *record) {
	if r.isExpected {
		r.isExpected = false
		t.host(now, r.host).expected--
	}
}

// startRequest counts a request as running at the backend server of a flow.
func (t *Table) startRequest(now pimclock.Instant, f pimpacket.Flow, r *record) {
	t.endExpected(now, r)
	if r.running {
		return
	}
	h := t.host(now, r.host)
	r.running, r.runningSince, r.foundIdle = true, now, h.isIdle()
	r.requests++
	h.setBusy(now, h.busy+1)
	r.ahead = float64(h.busy) + h.elsewhere.Busy
	t.unfinished.push(f, now)
}

// finishRequest ends the running request of a flow at the first sign of its answer.
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

// uncount subtracts a flow and its running request from the counts of its backend server.
func (t *Table) uncount(now pimclock.Instant, r *record) {
	h := t.host(now, r.host)
	h.open--
	t.endExpected(now, r)
	if r.running {
		r.running = false
		h.setBusy(now, h.busy-1)
	}
}

// recordMiss counts a flow as a miss, unless it was counted before, the backend server has answered a flow since the
// packet was sent, or misses are being ignored.
func (t *Table) recordMiss(now, sent pimclock.Instant, r *record, cause Cause) {
	h := t.host(now, r.host)
	if r.countedAsMiss || sent.Before(h.aliveAt) || now.Before(t.ignoreMissesUntil) {
		return
	}
	r.countedAsMiss = true
	h.addMiss(now, sent, cause, &t.cfg)
	t.suspicions = append(t.suspicions, Suspicion{Host: r.host, Cause: cause, Misses: h.misses})
}

// Suspicions returns the misses since the last call.
func (t *Table) Suspicions() (all []Suspicion) {
	all, t.suspicions = t.suspicions, nil
	return all
}

// Expire detects pauses of this VM, counts opening packets without an answer as misses, ends requests that have run for
// RunningFor, and removes idle flows. It must be called at least every 100 ms.
func (t *Table) Expire(now pimclock.Instant) {
	t.detectPause(now)
	for f, at, ok := t.unanswered.popBefore(now.Add(-t.cfg.AnswerWithin)); ok; f, at, ok = t.unanswered.popBefore(now.Add(-t.cfg.AnswerWithin)) {
		if r := t.flows[f]; r != nil && r.opening && r.openedAt == at {
			t.recordMiss(now, at, r, CauseUnanswered)
		}
	}
	for f, at, ok := t.unfinished.popBefore(now.Add(-t.cfg.RunningFor)); ok; f, at, ok = t.unfinished.popBefore(now.Add(-t.cfg.RunningFor)) {
		r := t.flows[f]
		switch {
		case r == nil:
		case r.running && r.runningSince == at:
			r.running = false
			h := t.host(now, r.host)
			h.setBusy(now, h.busy-1)
		case r.isExpected && r.openedAt == at:
			t.endExpected(now, r)
		}
	}
	t.sweep(now)
}

// Waiting is a flow whose request has no answer yet.
type Waiting struct {
	Flow pimpacket.Flow
	// Acked is the last sequence number that the caller has acknowledged.
	Acked pimpacket.Sequence
}

// Abandon removes the open flows of an unresponsive backend server and returns those that wait for an answer:
// their requests were sent at most RunningFor before its last sign of life, or later. Earlier requests have been
// answered, even if this was not seen because the answer fitted one packet.
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

// sweepInterval is how often the table is searched for idle flows.
const sweepInterval = time.Second

// sweep removes flows without packets for IdleFor, and opening flows for openingFor.
func (t *Table) sweep(now pimclock.Instant) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	t.sweepSightings(now)
	t.sweepWorks(now)
	for f, r := range t.flows {
		if now.Sub(r.lastSeen) > t.cfg.IdleFor || r.opening && now.Sub(r.lastSeen) > openingFor {
			t.uncount(now, r)
			delete(t.flows, f)
		}
	}
}

// RecordOverload records that this VM does not keep up with its packets. The packets were delayed here, so
// retransmitted data says nothing about the backend servers: misses are ignored for IgnoreMissesFor, and those counted
// so far are cleared, since they may have the same cause.
func (t *Table) RecordOverload(now pimclock.Instant) {
	if !now.Before(t.ignoreMissesUntil) {
		t.clearAllMisses()
	}
	t.ignoreMissesUntil = max(t.ignoreMissesUntil, now.Add(t.cfg.IgnoreMissesFor))
}

// clearAllMisses resets the misses of all backend servers and drops the pending suspicions.
func (t *Table) clearAllMisses() {
	t.suspicions = nil
	for _, h := range t.hosts {
		h.clearMisses()
	}
}

// detectPause clears and ignores misses if this VM was paused: callers then sent their packets again because this VM
// did not forward them.
func (t *Table) detectPause(now pimclock.Instant) {
	wasPaused := t.lastExpire != 0 && now.Sub(t.lastExpire) > t.cfg.PausedAfter
	t.lastExpire = now
	if !wasPaused {
		return
	}
	t.ignoreMissesUntil = now.Add(t.cfg.IgnoreMissesFor)
	t.clearAllMisses()
}

// openingFor is how long callers retransmit an opening packet, including the time for the last answer.
const openingFor = 2 * time.Second
