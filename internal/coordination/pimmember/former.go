package pimmember

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// incarnationID identifies one process run of a VM.
type incarnationID struct {
	id          pimid.NodeID
	incarnation pimid.Incarnation
}

// formerIncarnation holds the successor of an incarnation that ended with a planned stop, and until when it is kept.
type formerIncarnation struct {
	successor incarnationID
	until     pimclock.Instant
}

// keepSuccessor keeps the successor of an incarnation that is replaced by the next one of the same VM, since the tokens
// of the former incarnation stay valid for longer than a restart takes.
func (m *Members) keepSuccessor(now pimclock.Instant, r *record) {
	if r.Successor == 0 {
		return
	}
	m.formerIncarnations[incarnationID{r.ID, r.Incarnation}] = formerIncarnation{
		successor: incarnationID{r.Successor, r.SuccessorIncarnation}, until: now.Add(retention),
	}
}

func (m *Members) expireFormerIncarnations(now pimclock.Instant) {
	for k, f := range m.formerIncarnations {
		if !now.Before(f.until) {
			delete(m.formerIncarnations, k)
		}
	}
}

// SuccessorOf returns the VM that accepts the tokens of the given incarnation of a VM after its planned stop, with its
// incarnation. It reports false if that incarnation announced no successor.
func (m *Members) SuccessorOf(id pimid.NodeID, inc pimid.Incarnation) (pimid.NodeID, pimid.Incarnation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[id]; ok && r.Incarnation == inc && r.Successor != 0 {
		return r.Successor, r.SuccessorIncarnation, true
	}
	f, ok := m.formerIncarnations[incarnationID{id, inc}]
	return f.successor.id, f.successor.incarnation, ok
}
