package pimgossip

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// shouldPullUrgent reports whether to pull only the changes of backend servers from the sender of a heartbeat, and records the
// pull if so. That is needed if the sender has them ahead of other changes, or if this VM is receiving a large answer with all
// changes. Otherwise they come with the other changes.
func (m *Mesh) shouldPullUrgent(now pimclock.Instant, b *pimmesh.Heartbeat, v View) bool {
	known := v.urgent()
	switch {
	case v.Revision == 0 || b.Urgent <= known || b.Urgent.Era() != v.Revision.Era():
		return false
	case b.Revision > v.Revision && !m.pulls.transfer.isLarge(now, m.cfg.PullTimeout):
		return false
	case max(known, v.Base) < b.Base:
		// The sender may not know all changes of backend servers since then.
		return false
	case !m.urgentPulls.mayPull(now, known) || m.urgentPulls.transfer.isActive(now, m.cfg.PullTimeout):
		return false
	}
	m.recordPull(&m.urgentPulls, now, b.Address, known)
	return true
}

// PullNextUrgent returns a pull of the next part of the changes of backend servers from the VM that has sent the part before.
func (m *Mesh) PullNextUrgent(now pimclock.Instant, from netip.AddrPort, v View) Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordPull(&m.urgentPulls, now, from, v.urgent())
	return pullUrgent(from, v)
}

// pullUrgent returns a pull of the changes of backend servers. A VM of an earlier release answers with all changes.
func pullUrgent(from netip.AddrPort, v View) Outgoing {
	out := pull(from, v)
	out.Message.Pull.Urgent = v.urgent()
	return out
}
