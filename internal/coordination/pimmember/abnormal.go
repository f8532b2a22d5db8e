package pimmember

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// abnormal returns up to n states of VMs that failed or announced a stop and of backend servers that are draining or
// failed; successive calls go through all of them in turn.
func (m *Members) abnormal(n int) (items []*item) {
	m.backends.mu.RLock()
	defer m.backends.mu.RUnlock()
	total := len(m.gone) + len(m.backends.abnormal)
	for range min(n, total) {
		at := int(m.nextAbnormal % uint(total))
		m.nextAbnormal++
		if at >= len(m.gone) {
			items = append(items, backendItem(m.backends.updates[m.backends.abnormal[at-len(m.gone)]]))
			continue
		}
		if it := m.goneItem(m.gone[at]); it != nil {
			items = append(items, it)
		}
	}
	return items
}

// goneItem returns the state of a VM that failed or announced a stop, or nil if its record has been deleted since.
func (m *Members) goneItem(id pimid.NodeID) *item {
	r, ok := m.records[id]
	if !ok {
		return nil
	}
	return memberItem(r.update())
}
