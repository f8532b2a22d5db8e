package pimmember

import (
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// SetDigest sets the configuration revision and hash that this VM announces; a higher revision is pushed to peers like
// an update.
func (m *Members) SetDigest(revision pimid.Revision, hash []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if uint64(revision) > m.digest.GetRevision() {
		m.digestSends = sendLimit(len(m.peers))
	}
	m.digest = &pimpb.ConfigDigest{Revision: uint64(revision), Hash: slices.Clone(hash)}
	m.self.Revision = revision
}

// Ahead returns the reachable VMs that announced a higher revision than the given one. It returns VMs of other data
// centres only if the local one has none, since links between data centres are expensive.
func (m *Members) Ahead(revision pimid.Revision) (ids []pimid.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.announced <= revision {
		return nil
	}
	for _, id := range m.peers {
		if m.records[id].Revision > revision {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		return ids
	}
	for id, r := range m.records {
		if r != m.self && r.Revision > revision && r.reachable() && r.Address.IsValid() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// digestMessages returns digests and member updates for the other data centres if this VM is a reader.
func (m *Members) digestMessages(now pimclock.Instant) (out []Message) {
	if !slices.Contains(m.Top(m.cfg.DataCentre, ReaderKey, Readers), m.self.ID) {
		return nil
	}
	for _, dc := range m.DataCentres() {
		if dc == m.cfg.DataCentre {
			continue
		}
		for _, id := range m.remoteTargets(now, dc) {
			r := m.records[id]
			if !r.Address.IsValid() {
				continue
			}
			g := m.newGossip(pimpb.GossipKind_GOSSIP_KIND_DIGEST, 0)
			g.Members = append(g.Members, m.self.update())
			room := maxDatagram - headerBytes - memberItem(g.GetMembers()[0]).size
			used := m.remoteQueue.fill(g, room, m.remoteLimit())
			m.addGone(g, room-used)
			out = append(out, m.message(r, g))
		}
	}
	return out
}

// addGone adds the states of a few VMs that failed or announced a stop, in turn, so that updates lost in a network
// partition arrive later, and so that another data centre can correct wrong ones.
func (m *Members) addGone(g *pimpb.Gossip, room int) {
	for range min(repeatedStates, len(m.gone)) {
		m.nextGone++
		it := m.goneItem(m.gone[m.nextGone%uint(len(m.gone))])
		if it == nil || it.size > room {
			return
		}
		it.appendTo(g)
		room -= it.size
	}
}

// remoteTargets returns the readers of another data centre. If nothing was received from there for a while, the readers
// may have failed unnoticed, so a random VM of it is added.
func (m *Members) remoteTargets(now pimclock.Instant, dc pimid.DataCentre) []pimid.NodeID {
	ids := m.Top(dc, ReaderKey, Readers)
	if now.Sub(m.lastReceived[dc]) < silentDataCentre {
		return ids
	}
	live := m.Live(dc)
	if id := live[m.rng.IntN(len(live))]; !slices.Contains(ids, id) {
		ids = append(ids, id)
	}
	return ids
}

// remoteLimit is the number of times that an update is sent to other data centres: about three times to each of their
// readers, or up to six times if there are few data centres.
func (m *Members) remoteLimit() int { return limitFactor * Readers * len(m.DataCentres()) }

// handleDigest answers a VM of another data centre that announces an older revision, since it receives messages from few
// VMs.
func (m *Members) handleDigest(from *record, g *pimpb.Gossip) []Message {
	if from.DataCentre == m.cfg.DataCentre || !from.Address.IsValid() {
		return nil
	}
	if g.GetConfig().GetRevision() >= m.digest.GetRevision() {
		return nil
	}
	return []Message{m.message(from, m.newGossip(pimpb.GossipKind_GOSSIP_KIND_DIGEST, 0))}
}
