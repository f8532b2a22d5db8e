package pimflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// host holds what this VM has observed of one backend server.
type host struct {
	// busy is the number of running requests, expected that of flows whose first request has not arrived yet, open the number of
	// flows.
	busy, expected, open int
	// aliveAt is the last sign of life: the last time that a packet of a caller showed an answer.
	aliveAt pimclock.Instant
	// misses is the number of flows without an answer since the last sign of life. The first unanswered packet was sent
	// at missedFrom; the last miss was detected at missedAt.
	misses               int
	missedFrom, missedAt pimclock.Instant
	// openFlowMisses is the number of misses by retransmitted data on open flows.
	openFlowMisses int
	// suspectUntil is the end of the time for which new flows avoid the backend server after its last miss.
	suspectUntil pimclock.Instant
	// busyArea is the integral of busy over time from busyFrom to busyAt.
	busyArea         time.Duration
	busyFrom, busyAt pimclock.Instant
	// class, slots, startedAt and coldUntil are those of the catalog; slots is 0 until it has had the backend server.
	class     class
	slots     int
	startedAt int64
	coldUntil pimclock.Instant
	// slowness is what this VM has learned since the backend server started, elsewhere what the other VMs have reported, and
	// speed follows from both; resetAt is when this VM saw the last restart.
	slowness  slowness
	elsewhere Elsewhere
	speed     float64
	resetAt   pimclock.Instant
}

// UnderWay returns the number of requests that occupy the backend server or will, since they follow the opening packets of flows.
func (l *Load) UnderWay() float64 { return float64(l.Busy)*(1-l.Vacant) + float64(l.Expected) }

// Load is what a VM has observed of a backend server.
type Load struct {
	// Busy is the number of running requests, Expected that of flows whose first request has not arrived yet, Open the number of
	// flows.
	Busy, Expected, Open int
	// Vacant is the part of the running requests that does not occupy the backend server; see occupancy.
	Vacant float64
	// Suspect is set for some time after a miss; new flows then avoid the backend server.
	Suspect bool
	// Misses is the number of flows without an answer since the last sign of life, and MissedFrom is when the first
	// unanswered packet was sent.
	Misses     int
	MissedFrom pimclock.Instant
	// MissedAt is when the last miss was detected.
	MissedAt pimclock.Instant
	// OpenFlowMisses is the number of misses on open flows: only these show that open flows get no answer.
	OpenFlowMisses int
	// AliveAt is the last time that a packet of a caller showed an answer.
	AliveAt pimclock.Instant
	// Speed is the speed relative to the mean of the backend servers of the same service and data centre; 0 means unknown.
	Speed float64
}

// host returns the entry of a backend server and creates it on first use.
func (t *Table) host(now pimclock.Instant, id pimcatalog.HostID) *host {
	h := t.hosts[id]
	if h == nil {
		h = &host{busyFrom: now, busyAt: now}
		t.hosts[id] = h
	}
	return h
}

// Load returns what was observed of a backend server; it is zero for an unknown one.
func (t *Table) Load(now pimclock.Instant, id pimcatalog.HostID) Load {
	l, _ := t.Loads(now, id)
	return l
}

// Loads returns what was observed of a backend server here and elsewhere, both zero for an unknown one. The caller must not
// change or keep what was observed elsewhere.
func (t *Table) Loads(now pimclock.Instant, id pimcatalog.HostID) (Load, *Elsewhere) {
	h := t.hosts[id]
	if h == nil {
		return Load{}, &t.unknown
	}
	return Load{
		Busy: h.busy, Expected: h.expected, Open: h.open, Vacant: t.vacant(h), Suspect: now.Before(h.suspectUntil), Misses: h.currentMisses(now, t.cfg.SuspectMax), MissedFrom: h.missedFrom,
		MissedAt:       h.missedAt,
		OpenFlowMisses: h.openFlowMisses, AliveAt: h.aliveAt, Speed: h.speed,
	}, &h.elsewhere
}

// Prune removes the backend servers that are no longer in the catalog and have no flows left, and takes over what the catalog
// says of the others.
func (t *Table) Prune(now pimclock.Instant, c *pimcatalog.Catalog) {
	for id, h := range t.hosts {
		listed := c.Host(id.Tag())
		switch {
		case listed != nil && listed.ID == id:
			h.describe(now, listed)
		case h.open == 0 && h.busy == 0 && listed == nil:
			delete(t.hosts, id)
		}
	}
}

// recordAnswer records a sign of life.
func (h *host) recordAnswer(now pimclock.Instant) {
	h.aliveAt = now
	h.clearMisses()
}

// clearMisses resets the misses and ends the suspicion.
func (h *host) clearMisses() { h.misses, h.openFlowMisses, h.missedFrom, h.suspectUntil = 0, 0, 0, 0 }

// currentMisses returns the number of misses. Misses expire if no new one has followed for twice suspectMax, the
// longest time of suspicion.
func (h *host) currentMisses(now pimclock.Instant, suspectMax time.Duration) int {
	if h.misses > 0 && now.Sub(h.missedAt) > 2*suspectMax {
		h.clearMisses()
	}
	return h.misses
}

// addMiss counts a flow whose packet, sent at the given instant, got no answer. The time of suspicion doubles with each
// miss, from SuspectMin to SuspectMax.
func (h *host) addMiss(now, sent pimclock.Instant, cause Cause, cfg *Settings) {
	const maxDoublings = 8
	if h.misses == 0 || sent.Before(h.missedFrom) {
		h.missedFrom = sent
	}
	h.missedAt = now
	h.suspectUntil = now.Add(min(cfg.SuspectMin<<min(h.misses, maxDoublings), cfg.SuspectMax))
	h.misses++
	if cause == CauseRetransmitted {
		h.openFlowMisses++
	}
}

// setBusy sets the number of running requests and extends the integral up to now.
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

// Report is what a VM sends to other VMs about a backend server.
type Report struct {
	ID pimcatalog.HostID
	// Busy is the mean number of running requests since the last report.
	Busy float64
	Open int
	// SilentFor is the time since the last sign of life.
	SilentFor time.Duration
	// Slowness is the mean logarithm of answer times against the mean of the service, and Weight the number of answers; 0
	// means unknown.
	Slowness, Weight float64
	// Misses is the number of misses since the last sign of life, and MissedFor the time since the last one.
	Misses    int
	MissedFor time.Duration
}

// Report returns the backend servers with load, and those with misses or a learned speed, for the other VMs, and starts a new
// interval for the mean. Those with misses come first, then those with load; each report begins with another one, since a
// heartbeat has room for only some of them.
func (t *Table) Report(now pimclock.Instant) (reports []Report) {
	means := classMeans(t.hosts, func(h *host) (mean, weight float64) {
		h.slowness.decay(now)
		return h.slowness.mean(), h.slowness.weight
	})
	for id, h := range t.hosts {
		r := Report{ID: id, Busy: h.meanBusy(now), Open: h.open, SilentFor: now.Sub(h.aliveAt)}
		if m := means[h.class]; h.slowness.weight >= minReportedWeight && m.hosts > 1 {
			r.Slowness, r.Weight = h.slowness.sum/h.slowness.weight-m.mean(), h.slowness.weight
		}
		if r.Misses = h.currentMisses(now, t.cfg.SuspectMax); r.Misses > 0 {
			r.MissedFor = now.Sub(h.missedAt)
		}
		if r.Busy > 0 || r.Open > 0 || r.Weight > 0 || r.Misses > 0 {
			reports = append(reports, r)
		}
	}
	first := t.nextReport
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.ID-first, b.ID-first))
	})
	if len(reports) > 0 {
		// Ids are distributed at random, so that the difference of two reports is one of a few backend servers.
		t.nextReport = reports[min(len(reports)-1, reportStep)].ID
	}
	return reports
}

// reportStep is the number of backend servers by which the first one of a report moves on.
const reportStep = 20

// rank orders reports by their urgency.
func (r *Report) rank() int {
	switch {
	case r.Misses > 0:
		return 0
	case r.Busy > 0 || r.Open > 0:
		return 1
	default:
		return 2 //nolint:mnd // the last rank
	}
}
