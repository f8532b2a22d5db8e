package pimflow

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// host is what was observed of one backend server.
type host struct {
	// busy counts running requests and open the flows.
	busy, open int
	aliveAt    pimclock.Instant
	// misses counts flows without an answer since the last sign of life; the packet of the first was sent at missedFrom,
	// and the last was noticed at missedAt.
	misses               int
	missedFrom, missedAt pimclock.Instant
	// repeated counts those of them on open flows.
	repeated     int
	suspectUntil pimclock.Instant
	// busyArea is the integral of busy since busyFrom, up to busyAt.
	busyArea         time.Duration
	busyFrom, busyAt pimclock.Instant
}

// Load is what a VM has observed of a backend server.
type Load struct {
	// Busy counts running requests and Open the flows.
	Busy, Open int
	// Suspect is set while the backend server does not answer.
	Suspect bool
	// Misses is the number of flows without an answer since the last sign of life, and MissedFrom is when the first of
	// their packets was sent.
	Misses     int
	MissedFrom pimclock.Instant
	// MissedAt is when the last of them was noticed.
	MissedAt pimclock.Instant
	// Repeated is the number of those that were open: only they show that open flows get no answer.
	Repeated int
	// AliveAt is the last sign of life.
	AliveAt pimclock.Instant
}

func (t *Table) host(now pimclock.Instant, id pimcatalog.HostID) *host {
	h := t.hosts[id]
	if h == nil {
		h = &host{busyFrom: now, busyAt: now}
		t.hosts[id] = h
	}
	return h
}

// Load returns what was observed of a backend server.
func (t *Table) Load(now pimclock.Instant, id pimcatalog.HostID) Load {
	h := t.hosts[id]
	if h == nil {
		return Load{}
	}
	return Load{
		Busy: h.busy, Open: h.open, Suspect: now.Before(h.suspectUntil), Misses: h.currentMisses(now, t.cfg.SuspectMax), MissedFrom: h.missedFrom,
		MissedAt: h.missedAt,
		Repeated: h.repeated, AliveAt: h.aliveAt,
	}
}

// Prune forgets the backend servers that are not in the catalog any more.
func (t *Table) Prune(c *pimcatalog.Catalog) {
	for id, h := range t.hosts {
		if h.open == 0 && h.busy == 0 && c.Host(id.Tag()) == nil {
			delete(t.hosts, id)
		}
	}
}

// recordAnswer records a sign of life.
func (h *host) recordAnswer(now pimclock.Instant) {
	h.aliveAt = now
	h.clearMisses()
}

// clearMisses forgets the packets without an answer.
func (h *host) clearMisses() { h.misses, h.repeated, h.missedFrom, h.suspectUntil = 0, 0, 0, 0 }

// currentMisses forgets misses that nothing has added to for twice the longest time without a try.
func (h *host) currentMisses(now pimclock.Instant, suspectMax time.Duration) int {
	if h.misses > 0 && now.Sub(h.missedAt) > 2*suspectMax {
		h.clearMisses()
	}
	return h.misses
}

// addMiss records a packet without an answer.
func (h *host) addMiss(now, sent pimclock.Instant, cause Cause, cfg *Settings) {
	const maxDoublings = 8
	if h.misses == 0 || sent.Before(h.missedFrom) {
		h.missedFrom = sent
	}
	h.missedAt = now
	h.suspectUntil = now.Add(min(cfg.SuspectMin<<min(h.misses, maxDoublings), cfg.SuspectMax))
	h.misses++
	if cause == CauseRepeated {
		h.repeated++
	}
}

// setBusy changes the number of running requests.
func (h *host) setBusy(now pimclock.Instant, busy int) {
	h.busyArea += time.Duration(h.busy) * now.Sub(h.busyAt)
	h.busyAt = now
	h.busy = busy
}

// meanBusy returns the mean number of running requests since the last call.
func (h *host) meanBusy(now pimclock.Instant) float64 {
	h.setBusy(now, h.busy)
	elapsed := now.Sub(h.busyFrom)
	if elapsed <= 0 {
		return float64(h.busy)
	}
	mean := float64(h.busyArea) / float64(elapsed)
	h.busyArea, h.busyFrom = 0, now
	return mean
}

// Report is what a VM tells the others of a backend server.
type Report struct {
	ID pimcatalog.HostID
	// Busy is the mean number of running requests since the last report.
	Busy float64
	Open int
	// SilentFor is the time since the last sign of life.
	SilentFor time.Duration
}

// Report returns what the others may want to know, and starts the next mean.
func (t *Table) Report(now pimclock.Instant) (reports []Report) {
	for id, h := range t.hosts {
		r := Report{ID: id, Busy: h.meanBusy(now), Open: h.open, SilentFor: now.Sub(h.aliveAt)}
		if r.Busy > 0 || r.Open > 0 {
			reports = append(reports, r)
		}
	}
	return reports
}
