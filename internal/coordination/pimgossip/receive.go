package pimgossip

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// HeartbeatResult is the outcome of a received heartbeat.
type HeartbeatResult struct {
	// Out are the messages to send.
	Out []Outgoing
	// Confirms is set if the sender has the same revision, and the platform certainly had nothing newer at AsOf.
	Confirms bool
	AsOf     pimclock.Instant
	// Delay is how much longer this heartbeat was in transit than the fastest one of the same sender.
	Delay time.Duration
}

// driftDivisor is the inverse of the highest relative drift between the clocks of two VMs: a kernel that follows a time
// server changes the speed of its clock by up to 500 ppm, and two kernels may do so in opposite directions.
const driftDivisor = 1000

// delay records a heartbeat and returns how much longer it was in transit than the fastest one of the same incarnation:
// it may have waited in a queue while this VM was paused. The smallest offset is raised over time, since the clocks
// drift apart.
func (p *peer) delay(now pimclock.Instant, b *pimmesh.Heartbeat) time.Duration {
	offset := time.Duration(now) - b.SentAt
	if p.incarnation != b.Incarnation || p.compared == nil {
		p.incarnation, p.offset, p.offsetAt, p.isLeadKnown = b.Incarnation, offset, now, false
		p.compared, p.isOffsetKnown = &sample{sentAt: b.SentAt, offset: offset}, false
	}
	p.offset = min(p.offset+now.Sub(p.offsetAt)/driftDivisor, offset)
	p.offsetAt = now
	p.compare(sample{sentAt: b.SentAt, offset: offset})
	return offset - p.offset
}

// sample is the offset of a heartbeat and the sender's clock when it was sent.
type sample struct{ sentAt, offset time.Duration }

// minSampleGap is the shortest time between the sending of two heartbeats whose offsets are compared.
const minSampleGap = 100 * time.Millisecond

// compare finds out whether a heartbeat did not wait. The offsets of heartbeats that waited until the same instant, such as the end
// of a pause of this VM, fall by the time between their sending; those of heartbeats that were handled on arrival stay about the same.
func (p *peer) compare(s sample) {
	gap := s.sentAt - p.compared.sentAt
	if p.isOffsetKnown || gap < minSampleGap {
		return
	}
	p.isOffsetKnown = p.compared.offset-s.offset < gap/2
	*p.compared = s
}

// echo returns what tells a VM when a heartbeat was sent by its own clock; p is nil if the VM is not known.
func (p *peer) echo(now pimclock.Instant) *pimmesh.Echo {
	if p == nil || p.compared == nil {
		return &pimmesh.Echo{}
	}
	return &pimmesh.Echo{Incarnation: p.incarnation, Offset: p.offset + now.Sub(p.offsetAt)/driftDivisor}
}

// recordEcho records the echo of a heartbeat for this process run.
func (p *peer) recordEcho(now pimclock.Instant, e *pimmesh.Echo, incarnation uint64) {
	if e == nil || e.Incarnation != incarnation {
		return
	}
	lead := e.Offset
	if p.isLeadKnown {
		lead = min(lead, p.lead+now.Sub(p.leadAt)/driftDivisor)
	}
	p.lead, p.leadAt, p.isLeadKnown = lead, now, true
}

// sentAt returns the instant at which a heartbeat was sent, or an earlier one; isKnown is unset if it may have been earlier still. The
// delay is that beyond the fastest heartbeat of the sender. How long that one was in transit does not show in those that arrive: all may
// have come over a slow link, or may have waited. The echo bounds it by what the sender has received from this VM; the delay serves
// for senders of earlier versions.
func (p *peer) sentAt(now pimclock.Instant, b *pimmesh.Heartbeat, delay time.Duration) (at pimclock.Instant, isKnown bool) {
	switch {
	case b.Echo == nil:
		return now.Add(-delay), p.isOffsetKnown
	case !p.isLeadKnown:
		return now.Add(-delay), false
	default:
		return min(now, pimclock.Instant(b.SentAt-p.lead-now.Sub(p.leadAt)/driftDivisor)), true
	}
}

// transitAllowance is the assumed transit time of a heartbeat without an echo, and a margin for one with an echo. It is added to the age
// of the view and of the signs of life that a heartbeat reports, so that they look older than they are, never younger.
const transitAllowance = 20 * time.Millisecond

// Receive handles a heartbeat of another VM.
func (m *Mesh) Receive(now pimclock.Instant, b *pimmesh.Heartbeat, v View) (h HeartbeatResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Address == m.cfg.Address {
		return h
	}
	p, isNew := m.recordSender(now, b)
	h.Delay = p.delay(now, b)
	p.recordEcho(now, b.Echo, m.incarnation)
	sentAt, isSentAtKnown := p.sentAt(now, b, h.Delay)
	p.recordLoads(sentAt, b.Loads)
	if isSentAtKnown {
		m.lastReceived = max(m.lastReceived, sentAt)
	}
	if b.DataCentre == m.cfg.DataCentre && isSentAtKnown {
		m.mergeClaim(sentAt, b.Claim)
		m.recordKnown(p, sentAt, b.Known)
	}
	if b.DataCentre == m.cfg.DataCentre {
		m.mergeRemote(sentAt.Add(-transitAllowance), b.Remote)
	}
	m.addRemoteNamed(now, b.RemotePeers)
	// A heartbeat names VMs of the receiver's data centre.
	m.addNamed(now, b.Peers)
	if b.TakeOver {
		m.takeOver(now)
	}
	switch {
	case b.Leaving:
		return h
	case b.Hello || isNew && b.DataCentre == m.cfg.DataCentre:
		h.Out = append(h.Out, m.helloReply(now, b, v))
	}
	if m.shouldPull(now, b, v) {
		h.Out = append(h.Out, pull(b.Address, v))
	} else if m.shouldPullUrgent(now, b, v) {
		h.Out = append(h.Out, pullUrgent(b.Address, v))
	}
	h.Out = append(h.Out, m.retryTransfers(now, v)...)
	if b.Revision == v.Revision && b.Age >= 0 && isSentAtKnown {
		h.Confirms, h.AsOf = true, sentAt.Add(-b.Age-transitAllowance)
	}
	return h
}

// helloReply answers a hello with VMs of the sender's data centre. Heartbeats of other data centres arrive rarely, so
// VMs that have been silent are named as well.
func (m *Mesh) helloReply(now pimclock.Instant, b *pimmesh.Heartbeat, v View) Outgoing {
	if b.DataCentre == m.cfg.DataCentre {
		running := func(p *peer) bool { return m.isRunning(now, p) && p.address != b.Address }
		return Outgoing{To: b.Address, Message: m.heartbeat(now, v, m.known(b.Address), m.sample(m.chosen(m.peers, running)))}
	}
	others := func(p *peer) bool { return p.receivedAt != 0 && !p.leaving && p.address != b.Address }
	msg := m.heartbeat(now, v, m.known(b.Address), m.sample(m.chosen(m.remotePeers[b.DataCentre], others)))
	msg.Heartbeat.RemotePeers = m.remotePeerToSend(now, b.DataCentre)
	return Outgoing{To: b.Address, Message: msg}
}

// recordSender records the sender of a heartbeat and reports whether it was not running before.
func (m *Mesh) recordSender(now pimclock.Instant, b *pimmesh.Heartbeat) (p *peer, isNew bool) {
	of := m.peers
	if b.DataCentre != m.cfg.DataCentre {
		if of = m.remotePeers[b.DataCentre]; of == nil {
			of = map[netip.AddrPort]*peer{}
			m.remotePeers[b.DataCentre] = of
		}
	}
	p = of[b.Address]
	if p == nil {
		p = &peer{}
		of[b.Address] = p
	}
	isNew = !m.isRunning(now, p)
	if p.heardSince == 0 || p.incarnation != b.Incarnation {
		p.heardSince = now
	}
	p.name, p.address, p.receivedAt, p.leaving = b.Name, b.Address, now, b.Leaving
	return p, isNew
}

// addNamed adds VMs that a heartbeat names; they get a hello together with the next heartbeats.
func (m *Mesh) addNamed(now pimclock.Instant, named []pimmesh.PeerAddress) {
	for _, n := range named {
		if n.Address == m.cfg.Address || m.peers[n.Address] != nil {
			continue
		}
		m.peers[n.Address] = &peer{name: n.Name, address: n.Address, namedAt: now}
		m.lastHello = 0
	}
}
