package pimmember

import (
	"maps"
	"slices"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Live returns the VMs of a data centre that may own keys, in order of id; the caller must not change the slice.
func (m *Members) Live(dc pimid.DataCentre) []pimid.NodeID {
	if r := (*m.rings.Load())[dc]; r != nil {
		return r.nodes
	}
	return nil
}

// Owner returns the VM of a data centre that owns a key, or 0 if the data centre has no live VM.
func (m *Members) Owner(dc pimid.DataCentre, key uint64) pimid.NodeID {
	if r := (*m.rings.Load())[dc]; r != nil {
		return r.owner(key)
	}
	return 0
}

// Top returns up to n live VMs of a data centre in the order in which they own a key.
func (m *Members) Top(dc pimid.DataCentre, key uint64, n int) []pimid.NodeID {
	if r := (*m.rings.Load())[dc]; r != nil {
		return r.top(key, n)
	}
	return nil
}

// DataCentres returns the data centres with live VMs, sorted by name.
func (m *Members) DataCentres() []pimid.DataCentre {
	return slices.Sorted(maps.Keys(*m.rings.Load()))
}

// rebuildRings replaces the rings of changed data centres whose set of live VMs differs from before.
func (m *Members) rebuildRings() {
	old := *m.rings.Load()
	live := map[pimid.DataCentre][]pimid.NodeID{}
	for id, r := range m.records {
		if m.changed[r.DataCentre] && r.serving() && (r.Listed || !m.listed) {
			live[r.DataCentre] = append(live[r.DataCentre], id)
		}
	}
	next := maps.Clone(old)
	differs := false
	for dc := range m.changed {
		nodes := live[dc]
		slices.Sort(nodes)
		prev := old[dc]
		if prev != nil && slices.Equal(prev.nodes, nodes) {
			continue
		}
		differs = true
		delete(next, dc)
		if len(nodes) > 0 {
			next[dc] = newRing(nodes, prev)
		}
	}
	if differs {
		m.rings.Store(&next)
	}
}

// rebuildPeers lists the other VMs of the own data centre that take part in gossip.
func (m *Members) rebuildPeers() {
	m.peers = m.peers[:0]
	for id, r := range m.records {
		if id != m.self.ID && r.DataCentre == m.cfg.DataCentre && r.reachable() && r.Address.IsValid() {
			m.peers = append(m.peers, id)
		}
	}
	slices.Sort(m.peers)
}
