package pimmember

import (
	"maps"
	"slices"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Live returns the VMs of a data centre that may own keys, in order of id; the caller must not change the slice.
func (m *Members) Live(dc pimid.DataCentre) []pimid.NodeID {
	if r := (*m.rendezvous.Load())[dc]; r != nil {
		return r.nodes
	}
	return nil
}

// Owner returns the VM of a data centre that owns a key, or 0 if the data centre has no live VM.
func (m *Members) Owner(dc pimid.DataCentre, key uint64) pimid.NodeID {
	if r := (*m.rendezvous.Load())[dc]; r != nil {
		return r.owner(key)
	}
	return 0
}

// Top returns up to n live VMs of a data centre in the order in which they own a key; the caller must not change the
// slice.
func (m *Members) Top(dc pimid.DataCentre, key uint64, n int) []pimid.NodeID {
	if r := (*m.rendezvous.Load())[dc]; r != nil {
		return r.top(key, n)
	}
	return nil
}

// DataCentres returns the data centres with live VMs, sorted by name.
func (m *Members) DataCentres() []pimid.DataCentre {
	return slices.Sorted(maps.Keys(*m.rendezvous.Load()))
}

// rebuildRendezvous replaces the rendezvous tables of the changed data centres whose set of live VMs differs from
// before.
func (m *Members) rebuildRendezvous() {
	old := *m.rendezvous.Load()
	live := map[pimid.DataCentre][]pimid.NodeID{}
	for id, r := range m.records {
		if m.changedDCs[r.DataCentre] && r.serving() && (r.Listed || !m.listed) {
			live[r.DataCentre] = append(live[r.DataCentre], id)
		}
	}
	next := maps.Clone(old)
	differs := false
	for dc := range m.changedDCs {
		nodes := live[dc]
		slices.Sort(nodes)
		prev := old[dc]
		if prev != nil && slices.Equal(prev.nodes, nodes) {
			continue
		}
		differs = true
		delete(next, dc)
		if len(nodes) > 0 {
			next[dc] = newRendezvous(nodes, prev)
		}
	}
	if differs {
		m.rendezvous.Store(&next)
	}
}

// rebuildLists rebuilds the sorted lists of other VMs, such as peers and suspects.
func (m *Members) rebuildLists() {
	m.peers, m.suspects, m.dead, m.gone = m.peers[:0], m.suspects[:0], m.dead[:0], m.gone[:0]
	m.unlisted = m.unlisted[:0]
	for id, r := range m.records {
		if id != m.self.ID && !r.Listed {
			m.unlisted = append(m.unlisted, id)
		}
		if id == m.self.ID || r.expired {
			continue
		}
		isLocal := r.DataCentre == m.cfg.DataCentre && r.Address.IsValid()
		if isLocal && r.reachable() {
			m.peers = append(m.peers, id)
		}
		if r.State == Suspect {
			m.suspects = append(m.suspects, id)
		}
		if r.State == Dead && isLocal {
			m.dead = append(m.dead, id)
		}
		if rank(r.State) > rank(Suspect) || r.State == Leaving {
			m.gone = append(m.gone, id)
		}
	}
	for _, ids := range [][]pimid.NodeID{m.peers, m.suspects, m.dead, m.gone, m.unlisted} {
		slices.Sort(ids)
	}
}
