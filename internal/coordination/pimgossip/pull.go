package pimgossip

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// shouldPull reports whether the sender of a beat is asked for what it knows more, and notes that it is. While backend
// servers start one after the other, every beat tells a newer revision: one VM is asked at a time, so that the same
// changes are not told by many, and one that can tell the difference. The next one is asked once the answer has arrived, or
// after a wait that doubles, since the parts of an answer to an earlier question are of no use once a later answer comes.
func (m *Mesh) shouldPull(now pimclock.Instant, b *pimmesh.Beat, v View) bool {
	isAnswered := v.Revision > m.pulledSince
	canSendChanges := v.Revision > 0 && max(v.Revision, v.Base) >= b.Base
	switch {
	case b.Revision <= v.Revision || !isAnswered && !isDue(now, m.pulledAt, m.pullTimeout):
		return false
	case !canSendChanges && !m.mayPullFull(b, v):
		return false
	}
	m.recordPull(now, v, isAnswered)
	return true
}

// notePull remembers a question; the wait for the answer doubles while none comes.
func (m *Mesh) recordPull(now pimclock.Instant, v View, isAnswered bool) {
	if isAnswered {
		m.pullTimeout = m.cfg.PullTimeout
	} else {
		m.pullTimeout = min(max(m.cfg.PullTimeout, 2*m.pullTimeout), m.cfg.MaxPullTimeout)
	}
	m.pulledAt, m.pulledSince = now, v.Revision
}

// PullNext asks the VM that has told a part for the next one.
func (m *Mesh) PullNext(now pimclock.Instant, from netip.AddrPort, v View) Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordPull(now, v, true)
	return pull(from, v)
}

func pull(from netip.AddrPort, v View) Outgoing {
	return Outgoing{To: from, Message: pimmesh.Message{Pull: &pimmesh.Pull{
		Since: v.Revision, Base: v.Base, Config: v.Config,
	}}}
}

// mayPullAll reports whether the sender is asked for everything. A VM that only lacks some changes hears of them from
// another VM, or reads the platform once its view is old; only if it cannot, everything is told once more. Bytes between
// data centres are dear, so another one is asked only if the platform cannot be read.
func (m *Mesh) mayPullFull(b *pimmesh.Beat, v View) bool {
	if !m.canRead {
		return true
	}
	return v.Revision == 0 && b.DataCentre == m.cfg.DataCentre
}

func isDue(now, last pimclock.Instant, every time.Duration) bool {
	return last == 0 || now.Sub(last) >= every
}
