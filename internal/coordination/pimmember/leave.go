package pimmember

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Successor returns the VM that should take over the tokens of this VM, with its incarnation: of the other live VMs of
// the data centre, the one with the highest rendezvous score for this VM's id. It reports false if there is none.
func (m *Members) Successor() (pimid.NodeID, pimid.Incarnation, bool) {
	for _, id := range m.Top(m.cfg.DataCentre, uint64(m.cfg.Self), 2) {
		if id == m.cfg.Self {
			continue
		}
		r, _ := m.Member(id)
		return id, r.Incarnation, true
	}
	return 0, 0, false
}

// Leave announces a planned stop and the successor (0 for none) and returns the messages to send. This VM owns no keys
// from now on.
func (m *Members) Leave(now pimclock.Instant, successor pimid.NodeID, inc pimid.Incarnation) []Message {
	return m.announce(now, Leaving, func() {
		m.self.Leaving = true
		m.self.Successor, m.self.SuccessorIncarnation = successor, inc
	})
}

// Left announces the end of a planned stop, so that peers stop probing this VM, and returns the messages to send.
func (m *Members) Left(now pimclock.Instant) []Message {
	return m.announce(now, Left, func() { m.self.Leaving = true })
}

func (m *Members) announce(now pimclock.Instant, s State, change func()) []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rebuildIfDirty()
	change()
	m.self.State = s
	m.self.Counter++
	m.updateRole(m.self)
	m.enqueue(m.self)
	return m.push(now)
}
