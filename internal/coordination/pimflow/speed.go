package pimflow

import (
	"iter"
	"math"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The speed of a backend server is learned from the logarithm of its answer times: each is the sum of the work of the route
// and the slowness of the backend server, and both are fitted with each answer.
const (
	// priorWeight is the number of answers at the mean with which each backend server begins, so that one answer says little.
	priorWeight = 2
	// maxHostWeight and maxWorkWeight bound the number of answers that count, so that the estimates follow changes.
	maxHostWeight = 24
	maxWorkWeight = 200
	// slownessHalfLife is the time after which an answer counts half. A slow backend server gets few requests, so it must
	// return to the mean without any to be tried again.
	slownessHalfLife = 20 * time.Second
	// maxResidual bounds the influence of one answer, as the logarithm of its time against the expected one. A few per cent of
	// the requests take seven times as long as the others.
	maxResidual = 0.7
	// maxWorkFactor bounds the part of one answer in the mean work of a route, as a multiple of its typical time.
	maxWorkFactor = 8
	// minReportedWeight is the weight from which a slowness is sent to other VMs.
	minReportedWeight = 2
	// maxWorks bounds the number of routes whose work is known; routeIdleFor is how long one is kept without answers.
	maxWorks     = 20_000
	routeIdleFor = 5 * time.Minute
	// resetIgnoresPeersFor is how long reports of other VMs about the speed of a restarted backend server are ignored, since
	// they may be about the process before.
	resetIgnoresPeersFor = 3 * time.Second
)

// MaxSpeed is the highest speed; minSpeed is the lowest one, which is farther from the mean: a backend server that refuses at once
// looks fast.
const MaxSpeed = 2

const minSpeed = 0.25

// class groups the backend servers whose answer times are compared. The data centre belongs to it, since answers from another
// one take longer whatever the speed of the backend server.
type class struct {
	service    pimcatalog.Service
	dataCentre pimid.DataCentre
}

// slowness is the sum of the logarithms of answer times against the mean, and their number; both decay with time.
type slowness struct {
	sum, weight float64
	at          pimclock.Instant
}

// decay reduces the weight of earlier answers.
func (s *slowness) decay(now pimclock.Instant) {
	if s.weight > 0 && now.Sub(s.at) > 0 {
		f := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
		s.sum *= f
		s.weight *= f
	}
	s.at = now
}

// mean returns the estimate; without answers it is 0.
func (s *slowness) mean() float64 { return s.sum / (s.weight + priorWeight) }

func (s *slowness) add(x float64) {
	s.sum += x
	s.weight++
	if s.weight > maxHostWeight {
		s.sum *= maxHostWeight / s.weight
		s.weight = maxHostWeight
	}
}

// work is the answer time of a route at backend servers of one class.
type work struct {
	class class
	// log is the logarithm of the typical answer time in seconds at a backend server of mean speed, mean the mean time.
	log, mean, weight float64
	learnedAt         pimclock.Instant
}

// Elsewhere is what the other VMs have reported of a backend server.
type Elsewhere struct {
	// Busy and Open are the running requests and the open flows.
	Busy, Open float64
	// AliveAt is the last sign of life.
	AliveAt pimclock.Instant
	// Slowness is the mean logarithm of answer times against the mean of the service, and Weight the number of answers.
	Slowness, Weight float64
	// Misses is the number of flows without an answer since the reporting VM's last sign of life, MissedAt the time of the
	// last one.
	Misses   int
	MissedAt pimclock.Instant
}

// SetElsewhere replaces what the other VMs have reported, and updates the speeds of the backend servers.
func (t *Table) SetElsewhere(now pimclock.Instant, reported iter.Seq2[pimcatalog.HostID, Elsewhere]) {
	for _, h := range t.hosts {
		h.elsewhere = Elsewhere{}
	}
	for id, e := range reported {
		t.host(now, id).elsewhere = e
	}
	means := classMeans(t.hosts, func(h *host) (mean, weight float64) {
		s := h.combined(now)
		return s.mean(), s.weight
	})
	for _, h := range t.hosts {
		s := h.combined(now)
		h.speed = 0
		if s.weight >= 1 && means[h.class].hosts > 1 {
			h.speed = min(max(math.Exp(means[h.class].mean()-s.mean()), minSpeed), MaxSpeed)
		}
	}
}

// combined returns the slowness that this VM and the others have learned.
func (h *host) combined(now pimclock.Instant) slowness {
	h.slowness.decay(now)
	s := h.slowness
	if now.Sub(h.resetAt) > resetIgnoresPeersFor || h.resetAt == 0 {
		s.sum += h.elsewhere.Slowness * h.elsewhere.Weight
		s.weight += h.elsewhere.Weight
	}
	return s
}

// classMean is the sum of the estimates of the backend servers of a class, and their number.
type classMean struct {
	sum   float64
	hosts int
}

func (m classMean) mean() float64 { return m.sum / float64(max(1, m.hosts)) }

// classMeans averages the estimates of the backend servers of each class that have answers.
func classMeans(hosts map[pimcatalog.HostID]*host, estimate func(h *host) (mean, weight float64)) map[class]classMean {
	means := map[class]classMean{}
	for _, h := range hosts {
		if mean, weight := estimate(h); weight >= 1 && h.isKnown() {
			m := means[h.class]
			m.sum += mean
			m.hosts++
			means[h.class] = m
		}
	}
	return means
}

// isKnown reports whether the catalog has had the backend server.
func (h *host) isKnown() bool { return h.slots > 0 }

// describe takes over what the catalog says of a backend server. A restarted one begins at the mean speed.
func (h *host) describe(now pimclock.Instant, c *pimcatalog.Host) {
	if h.isKnown() && h.startedAt != c.StartedAt {
		h.slowness, h.speed, h.resetAt = slowness{}, 0, now
	}
	h.class = class{service: c.Service, dataCentre: c.DataCentre}
	h.slots, h.startedAt, h.coldUntil = max(1, c.Slots), c.StartedAt, c.ColdUntil
}

// idleShare is the share of the slots up to which a backend server counts as idle. At 95% load (TestUnevenBackendServers), 0.713 of
// the requests are answered in time with this share and 0.701 with half of the slots, which leaves few answers to learn from.
const idleShare = 0.625

// isIdle reports whether a request that arrives now is likely to find a free slot, so that its answer time shows no wait. The
// requests of the other VMs are known only as a mean.
func (h *host) isIdle() bool {
	return h.isKnown() && h.elsewhere.Busy+float64(h.busy) <= idleShare*float64(h.slots)
}

// learn learns from the packet p, which shows the answer of the running request, how long the route and the backend server
// take. An answer that fits one packet is acknowledged by the caller's next packet: if that is the next request, the time
// includes the caller's pause, and is not used. The close of a flow with one request follows the answer.
func (t *Table) learn(now pimclock.Instant, p *pimpacket.Packet, r *record, h *host) {
	isPrompt := p.Data == 0 && (!p.Flags.Has(pimpacket.Close) || r.requests == 1) && !p.Flags.Has(pimpacket.Reset)
	elapsed := now.Sub(r.requestedAt)
	isUsable := r.running && r.foundIdle && r.requestedAt != 0 && elapsed > 0 && !now.Before(t.ignoreMissesUntil) && !now.Before(h.coldUntil)
	if !isPrompt || !isUsable {
		return
	}
	w := t.work(p.Flow.Destination, h.class)
	if w == nil {
		return
	}
	w.learnedAt = now
	h.slowness.decay(now)
	slow, x := h.slowness.mean(), math.Log(elapsed.Seconds())
	if w.weight == 0 {
		w.log, w.mean, w.weight = x-slow, elapsed.Seconds()*math.Exp(-slow), 1
		return
	}
	residual := min(max(x-w.log-slow, -maxResidual), maxResidual)
	h.slowness.add(slow + residual)
	w.weight = min(w.weight+1, maxWorkWeight)
	w.log += residual / w.weight
	w.mean += (min(elapsed.Seconds()*math.Exp(-slow), maxWorkFactor*math.Exp(w.log)) - w.mean) / w.weight
}

// work returns the entry of a route at backend servers of a class and creates it on first use; nil if there are too many.
func (t *Table) work(route netip.AddrPort, c class) *work {
	of := t.works[route]
	for _, w := range of {
		if w.class == c {
			return w
		}
	}
	if of == nil && len(t.works) >= maxWorks {
		return nil
	}
	w := &work{class: c}
	t.works[route] = append(of, w)
	return w
}

// minWorkWeight is the number of answers from which the work of a route counts as known.
const minWorkWeight = 5

// Work returns the mean time from a request of a route, given by its published address, to its answer at a backend server of
// mean speed that has a free slot; it includes the way to the caller. It is unknown before some answers were seen.
func (t *Table) Work(route netip.AddrPort) (d time.Duration, ok bool) {
	weight := 0.0
	for _, w := range t.works[route] {
		if w.weight > weight {
			d, weight = time.Duration(w.mean*float64(time.Second)), w.weight
		}
	}
	return d, weight >= minWorkWeight
}

// sweepWorks forgets the routes without answers for routeIdleFor.
func (t *Table) sweepWorks(now pimclock.Instant) {
	for route, of := range t.works {
		last := pimclock.Instant(0)
		for _, w := range of {
			last = max(last, w.learnedAt)
		}
		if now.Sub(last) > routeIdleFor {
			delete(t.works, route)
		}
	}
}
