package pimmember

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Tick does the work that is due and returns the messages to send; it should be called at least every 100 ms.
func (m *Members) Tick(now pimclock.Instant) (out []Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rebuildIfDirty()
	m.handlePause(now)
	m.expireSuspicions(now)
	m.expireRecords(now)
	if m.probe.pending && !m.probe.indirect && now.Sub(m.probe.sent) >= m.cfg.ProbeTimeout {
		out = append(out, m.requestIndirectProbes()...)
	}
	if !now.Before(m.nextProbe) {
		out = append(out, m.startProbe(now)...)
	}
	if !now.Before(m.nextPush) {
		m.nextPush = now.Add(m.cfg.PushInterval)
		out = append(out, m.push(now)...)
	}
	if !now.Before(m.nextDigest) {
		m.nextDigest = now.Add(m.cfg.DigestInterval)
		out = append(out, m.digestMessages(now)...)
	}
	return out
}

// handlePause disregards answers that were missed while the process was paused: it drops the pending probe and extends
// all suspicions.
func (m *Members) handlePause(now pimclock.Instant) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < 2*m.cfg.ProbeInterval {
		return
	}
	m.counts.Pauses++
	m.probe.pending = false
	for _, r := range m.records {
		if r.State == Suspect {
			r.suspectUntil = r.suspectUntil.Add(gap)
		}
	}
}

// expireRecords deletes expired indirect probes and former incarnations. Once a list is published, it marks unlisted VMs
// as expired after their grace period and deletes them after the retention.
func (m *Members) expireRecords(now pimclock.Instant) {
	for seq, h := range m.indirectProbes {
		if !now.Before(h.until) {
			delete(m.indirectProbes, seq)
		}
	}
	m.expireFormerIncarnations(now)
	if !m.listed {
		return
	}
	for _, id := range m.unlisted {
		r, ok := m.records[id]
		if !ok || r.Listed {
			continue
		}
		if age := now.Sub(r.unlistedSince); age >= unlistedGrace && !r.expired {
			r.expired = true
			m.updateRole(r)
		} else if age >= retention {
			delete(m.records, id)
			m.dirty = true
		}
	}
}

// push sends queued updates to a few random peers between probes, so that urgent updates arrive within seconds.
func (m *Members) push(now pimclock.Instant) (out []Message) {
	if m.queue.len() == 0 && m.digestSends <= 0 {
		return nil
	}
	for _, id := range m.randomPeers(m.cfg.PushFanout, m.self.ID) {
		if m.queue.len() == 0 && m.digestSends <= 0 || !m.budget.available(now) {
			return out
		}
		m.digestSends--
		g := m.newGossip(pimpb.GossipKind_GOSSIP_KIND_DIGEST, 0)
		used := m.queue.fill(g, maxDatagram-headerBytes, sendLimit(len(m.peers)))
		m.budget.spend(used + headerBytes)
		out = append(out, m.message(m.records[id], g))
	}
	return out
}

// byteBudget is a token bucket of bytes that may be overdrawn by one datagram.
type byteBudget struct {
	level float64
	last  pimclock.Instant
}

// available refills the budget and reports whether a datagram may be sent.
func (b *byteBudget) available(now pimclock.Instant) bool {
	b.level = min(gossipBurst, b.level+gossipRate*now.Sub(b.last).Seconds())
	b.last = now
	return b.level > 0
}

func (b *byteBudget) spend(n int) { b.level -= float64(n) }

// indirectProbeTimeout is how long a probe on behalf of another VM is kept.
const indirectProbeTimeout = 2 * time.Second
