package pimgossip

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// pulls holds the last pull of one kind.
type pulls struct {
	// pulledAt is when changes after the revision pulledSince were last pulled, pullTimeout how long to wait for them.
	pulledAt    pimclock.Instant
	pulledSince pimid.Revision
	pullTimeout time.Duration
	// transfer is the answer to the last pull, as far as it has arrived.
	transfer transfer
}

// mayPull reports whether a pull of the changes after a revision may follow: the last one was answered, or its timeout is over.
func (p *pulls) mayPull(now pimclock.Instant, since pimid.Revision) bool {
	return since > p.pulledSince || isDue(now, p.pulledAt, p.pullTimeout)
}

// shouldPull reports whether to pull newer changes from the sender of a heartbeat, and records the pull if so. While
// backend servers start one after the other, every heartbeat carries a newer revision. Only one VM is pulled from at a
// time, so that several VMs do not send the same changes, and it has to be one that can send the changes instead of its
// full state. The next pull follows when the answer has arrived, or after a timeout that doubles, since the chunks of
// an answer are useless once a later answer arrives.
func (m *Mesh) shouldPull(now pimclock.Instant, b *pimmesh.Heartbeat, v View) bool {
	canSendChanges := v.Revision > 0 && max(v.Revision, v.Base) >= b.Base
	switch {
	case b.Revision <= v.Revision || !m.pulls.mayPull(now, v.Revision):
		return false
	case !canSendChanges && !m.mayPullFull(b, v):
		return false
	case m.pulls.transfer.isActive(now, m.cfg.PullTimeout):
		return false
	}
	m.recordPull(&m.pulls, now, b.Address, v.Revision)
	return true
}

// recordPull records a pull; the timeout doubles while no answer arrives.
func (m *Mesh) recordPull(p *pulls, now pimclock.Instant, from netip.AddrPort, since pimid.Revision) {
	if isAnswered := since > p.pulledSince; isAnswered {
		p.pullTimeout = m.cfg.PullTimeout
	} else {
		p.pullTimeout = min(max(m.cfg.PullTimeout, 2*p.pullTimeout), m.cfg.MaxPullTimeout)
	}
	p.pulledAt, p.pulledSince = now, since
	m.beginTransfer(p, transfer{from: from, urgent: p == &m.urgentPulls})
}

// PullNext returns a pull of the next part of the changes from the VM that has sent the part before.
func (m *Mesh) PullNext(now pimclock.Instant, from netip.AddrPort, v View) Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordPull(&m.pulls, now, from, v.Revision)
	return pull(from, v)
}

func pull(from netip.AddrPort, v View) Outgoing {
	return Outgoing{To: from, Message: pimmesh.Message{Pull: &pimmesh.Pull{
		Since: v.Revision, Base: v.Base, Config: v.Config, Count: chunkWindow, Inflates: true,
	}}}
}

// mayPullFull reports whether the full state may be pulled from the sender. A VM that lacks only some changes gets them
// from another VM. It pulls the full state again if it cannot read the platform, if its view is from an earlier era or has no
// configuration, or if the view is so old that the VM would read the platform: once the platform has discarded its history, the
// reader has only the full state, and all VMs would list the platform. Traffic between data centres is expensive, so another
// data centre is used only if the platform cannot be read.
func (m *Mesh) mayPullFull(b *pimmesh.Heartbeat, v View) bool {
	if !m.canRead {
		return true
	}
	isUseless := v.Revision == 0 || v.Config == 0 || v.Revision.Era() < b.Revision.Era()
	isOld := v.Age > m.cfg.TakeoverAge
	return (isUseless || isOld) && b.DataCentre == m.cfg.DataCentre
}

func isDue(now, last pimclock.Instant, every time.Duration) bool {
	return last == 0 || now.Sub(last) >= every
}
