package pimplace

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// SlowStart bounds the opening packets to backend servers in slow start.
type SlowStart interface {
	// AllowsWithin reports whether a backend server that can handle perSecond requests a second may get an opening packet from this
	// VM now or, if no other one is sent, after the given time.
	AllowsWithin(now pimclock.Instant, h *pimcatalog.Host, perSecond float64, d time.Duration) bool
	// RecordDenied records that the bound has excluded n backend servers from the choice for an opening packet.
	RecordDenied(n int)
}

// LimitSlowStart sets the bound for backend servers in slow start; without it there is none.
func (p *Placer) LimitSlowStart(s SlowStart) { p.slowStart = s }

// exclude reports whether a backend server may receive no new flow from this VM now, and why. If all are excluded, the highest reason
// applies: the later ones in pimsteer exclude backend servers that could otherwise take the flow.
func (p *Placer) exclude(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) (pimsteer.Reason, bool) {
	switch {
	case !h.AcceptsNewFlows(now):
		return pimsteer.ReasonNoHost, true
	case c.IsEvacuated(h.DataCentre):
		return pimsteer.ReasonEvacuated, true
	case !p.mayWarmUp(now, c, h, 0):
		return pimsteer.ReasonSlowStart, true
	default:
		return pimsteer.ReasonPlaced, false
	}
}

// isExcluded reports whether a backend server may receive no new flow now, and records why.
func (p *Placer) isExcluded(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host) bool {
	reason, isExcluded := p.exclude(now, c, h)
	if isExcluded {
		p.excluded = max(p.excluded, reason)
		p.trace.addExcluded(h, reason)
	}
	if reason == pimsteer.ReasonSlowStart {
		p.denied++
	}
	return isExcluded
}

// mayWarmUp reports whether the slow start of a backend server lets it receive an opening packet after the given time.
func (p *Placer) mayWarmUp(now pimclock.Instant, c *pimcatalog.Catalog, h *pimcatalog.Host, d time.Duration) bool {
	if p.slowStart == nil || h.ColdFor(now) <= d {
		return true
	}
	perSecond, ok := c.SlowStart(h.Service)
	return !ok || p.slowStart.AllowsWithin(now, h, perSecond, d)
}

// The times from a transmission of an opening packet to the next one, by attempt; there is none after the last.
var untilNextCopy = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}

// refuseSlowStart returns the placement for a packet that only backend servers in slow start could have taken. If the next copy may be
// placed on one of them, the caller need not begin a new attempt. isTried is set if an earlier copy was forwarded: its answer may be on
// the way, and a reset could reach the caller after it and break the open flow.
func (p *Placer) refuseSlowStart(
	now pimclock.Instant, c *pimcatalog.Catalog, service pimcatalog.Service, pkt *pimpacket.Packet, isTried bool,
) pimsteer.Placement {
	refusal := pimsteer.Placement{Reason: pimsteer.ReasonSlowStart, Later: isTried}
	if pkt.Attempt < 0 || pkt.Attempt >= len(untilNextCopy) {
		return refusal
	}
	for _, h := range c.Service(service) {
		if h.AcceptsNewFlows(now) && !c.IsEvacuated(h.DataCentre) && p.mayWarmUp(now, c, h, untilNextCopy[pkt.Attempt]) {
			refusal.Later = true
		}
	}
	return refusal
}
