package pimmember

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// headerBytes is the estimated size of a datagram without piggybacked updates: seal, kind, ids and digest.
const headerBytes = 100

// Receive handles an authenticated message and returns the answers to send.
func (m *Members) Receive(now pimclock.Instant, g *pimpb.Gossip) (out []Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rebuildIfDirty()
	from, ok := m.recordSender(now, g)
	if !ok {
		return nil
	}
	for _, u := range g.GetMembers() {
		m.apply(now, u)
	}
	for _, u := range g.GetBackends() {
		m.applyBackend(u)
	}
	switch g.GetKind() {
	case pimpb.GossipKind_GOSSIP_KIND_PING:
		if !from.Address.IsValid() {
			return nil
		}
		return []Message{m.ack(from, g.GetSequence(), 0)}
	case pimpb.GossipKind_GOSSIP_KIND_ACK:
		return m.handleAck(from, g)
	case pimpb.GossipKind_GOSSIP_KIND_PING_REQ:
		return m.handlePingReq(now, from, g)
	case pimpb.GossipKind_GOSSIP_KIND_DIGEST:
		return m.handleDigest(from, g)
	}
	return nil
}

// handleAck ends the pending probe, or passes the answer to an indirect probe on to its requester.
func (m *Members) handleAck(from *record, g *pimpb.Gossip) []Message {
	for _, p := range []*probe{&m.probe, &m.remotePing} {
		isTarget := from.ID == p.target || pimid.NodeID(g.GetTarget()) == p.target
		if p.pending && g.GetSequence() == p.sequence && isTarget {
			p.pending = false
			m.answeredAsOf = max(m.answeredAsOf, p.sent)
			return nil
		}
	}
	h, ok := m.indirectProbes[g.GetSequence()]
	if !ok || h.target != from.ID {
		return nil
	}
	delete(m.indirectProbes, g.GetSequence())
	if r, ok := m.records[h.requester]; ok && r.Address.IsValid() {
		return []Message{m.ack(r, h.sequence, h.target)}
	}
	return nil
}

// handlePingReq pings the target on behalf of the sender.
func (m *Members) handlePingReq(now pimclock.Instant, from *record, g *pimpb.Gossip) []Message {
	target, ok := m.records[pimid.NodeID(g.GetTarget())]
	if !ok || target == m.self || !target.Address.IsValid() {
		return nil
	}
	m.sequence++
	m.indirectProbes[m.sequence] = indirectProbe{
		requester: from.ID, sequence: g.GetSequence(), target: target.ID, until: now.Add(indirectProbeTimeout),
	}
	return []Message{m.ping(target, m.sequence)}
}

// ping returns a probe. It carries the state of this VM, so that a receiver without the published list learns about the
// sender, and the state of the target unless it is alive, so that the target can refute it.
func (m *Members) ping(to *record, sequence uint64) Message {
	g := m.newGossip(pimpb.GossipKind_GOSSIP_KIND_PING, sequence)
	g.Members = append(g.Members, m.self.update())
	return m.piggyback(to, g)
}

func (m *Members) ack(to *record, sequence uint64, target pimid.NodeID) Message {
	g := m.newGossip(pimpb.GossipKind_GOSSIP_KIND_ACK, sequence)
	g.Target = uint32(target)
	return m.piggyback(to, g)
}

// piggyback adds updates to a probe or answer: the state of the receiver unless it is alive, queued updates and a few
// older abnormal states.
func (m *Members) piggyback(to *record, g *pimpb.Gossip) Message {
	room := maxDatagram - headerBytes
	for _, u := range g.GetMembers() {
		room -= memberItem(u).size
	}
	if to.State != Alive {
		it := memberItem(to.update())
		it.appendTo(g)
		room -= it.size
	}
	if m.budget.available(m.lastTick) {
		used := m.queue.fill(g, room, sendLimit(len(m.peers)))
		used += m.addAbnormal(g, room-used)
		m.budget.spend(used)
	}
	return m.message(to, g)
}

// addAbnormal adds older abnormal states in turn and returns the number of bytes added.
func (m *Members) addAbnormal(g *pimpb.Gossip, room int) (used int) {
	for _, it := range m.abnormal(repeatedStates) {
		if used+it.size > room {
			return used
		}
		it.appendTo(g)
		used += it.size
	}
	return used
}

func (m *Members) newGossip(kind pimpb.GossipKind, sequence uint64) *pimpb.Gossip {
	return &pimpb.Gossip{
		Kind: kind, Sender: uint32(m.self.ID), SenderIncarnation: uint64(m.self.Incarnation), Sequence: sequence,
		Config: m.digest,
	}
}

func (m *Members) message(to *record, g *pimpb.Gossip) Message {
	return Message{To: to.ID, Address: to.Address, Gossip: g}
}
