package pimmember

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// probe is the probe of the current interval; pending is set until it is answered, indirect once peers were asked to
// probe the target.
type probe struct {
	target   pimid.NodeID
	sequence uint64
	sent     pimclock.Instant
	pending  bool
	indirect bool
}

// indirectProbe is a probe on behalf of another VM, whose sequence number it keeps for the answer.
type indirectProbe struct {
	requester pimid.NodeID
	sequence  uint64
	target    pimid.NodeID
	until     pimclock.Instant
}

// startProbe ends the previous interval and pings the next VM; a VM that did not answer becomes a suspect.
func (m *Members) startProbe(now pimclock.Instant) (out []Message) {
	m.nextProbe = now.Add(m.cfg.ProbeInterval)
	if m.probe.pending {
		m.suspect(now, m.probe.target)
	}
	m.probe = probe{}
	if id, ok := m.nextTarget(); ok {
		m.sequence++
		m.counts.Probes++
		m.probe = probe{target: id, sequence: m.sequence, sent: now, pending: true}
		out = append(out, m.ping(m.records[id], m.sequence))
	} else if r := m.randomRemote(); r != nil {
		m.sequence++
		m.remotePing = probe{target: r.ID, sequence: m.sequence, sent: now, pending: true}
		out = append(out, m.ping(r, m.sequence))
	}
	// A dead VM is pinged as well, so that VMs find each other again after a network partition.
	if r := m.randomDead(); r != nil {
		m.sequence++
		out = append(out, m.ping(r, m.sequence))
	}
	return out
}

// nextTarget returns the next peer to probe, or false if there is none. Each round goes through all peers in a new random
// order, so that the time until a failed VM is probed is bounded.
func (m *Members) nextTarget() (pimid.NodeID, bool) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if r, ok := m.records[id]; ok && r.reachable() && r.Address.IsValid() {
				return id, true
			}
		}
		m.probeOrder = append(m.probeOrder[:0], m.peers...)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return 0, false
}

// randomRemote returns a live VM of another data centre, or nil if there is none with a known address.
func (m *Members) randomRemote() *record {
	var remote []*record
	for _, dc := range m.DataCentres() {
		if dc == m.cfg.DataCentre {
			continue
		}
		for _, id := range m.Live(dc) {
			if r := m.records[id]; r != nil && r.Address.IsValid() {
				remote = append(remote, r)
			}
		}
	}
	if len(remote) == 0 {
		return nil
	}
	return remote[m.rng.IntN(len(remote))]
}

func (m *Members) randomDead() *record {
	if len(m.dead) == 0 {
		return nil
	}
	return m.records[m.dead[m.rng.IntN(len(m.dead))]]
}

// requestIndirectProbes asks random peers to probe the target, since only the path from this VM may be broken.
func (m *Members) requestIndirectProbes() (out []Message) {
	m.probe.indirect = true
	for _, id := range m.randomPeers(m.cfg.IndirectProbes, m.probe.target) {
		g := m.newGossip(pimpb.GossipKind_GOSSIP_KIND_PING_REQ, m.probe.sequence)
		g.Target = uint32(m.probe.target)
		out = append(out, m.message(m.records[id], g))
	}
	return out
}

func (m *Members) suspect(now pimclock.Instant, id pimid.NodeID) {
	r, ok := m.records[id]
	if !ok || rank(r.State) >= rank(Suspect) {
		return
	}
	m.counts.Suspicions++
	r.State = Suspect
	r.suspectUntil = now.Add(m.cfg.SuspicionTimeout)
	m.updateRole(r)
	m.enqueue(r)
}

func (m *Members) expireSuspicions(now pimclock.Instant) {
	for _, id := range m.suspects {
		r, ok := m.records[id]
		if !ok || r.State != Suspect || now.Before(r.suspectUntil) {
			continue
		}
		m.counts.Failures++
		r.State = Dead
		m.updateRole(r)
		m.enqueue(r)
	}
}

// randomPeers picks up to n peers other than the excluded one.
func (m *Members) randomPeers(n int, exclude pimid.NodeID) (out []pimid.NodeID) {
	if len(m.peers) <= n+1 {
		for _, id := range m.peers {
			if id != exclude && len(out) < n {
				out = append(out, id)
			}
		}
		return out
	}
	chosen := map[pimid.NodeID]bool{exclude: true}
	for len(out) < n {
		if id := m.peers[m.rng.IntN(len(m.peers))]; !chosen[id] {
			chosen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// jitter returns a random duration below d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
