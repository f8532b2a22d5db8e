package pimgossip

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Member is another VM of the data centre.
type Member struct {
	Name string
	// KnownFor is the time since its present process run was first heard from; zero if only other VMs have named it.
	KnownFor time.Duration
}

// Membership is what a VM knows of the VMs of its data centre.
type Membership struct {
	// Members are the other VMs that have not been removed, silent and leaving ones included, ordered by name.
	Members []Member
	// RunningFor is the time since this VM started, or resumed after a pause.
	RunningFor time.Duration
	// Incomplete is set while this VM has reason to assume that there are VMs that it does not know.
	Incomplete bool
}

// pauseGap is the time between two ticks from which this VM counts as having been paused. A VM with 0.045 of a core that reads a
// large configuration is late by less.
const pauseGap = 2 * time.Second

// Membership returns the known VMs of the data centre.
func (m *Mesh) Membership(now pimclock.Instant) Membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Membership{Incomplete: m.isIncomplete(now)}
	if !m.hasPaused(now) {
		s.RunningFor = now.Sub(m.runningSince)
	}
	for _, p := range m.peers {
		member := Member{Name: p.name}
		if p.heardSince != 0 {
			member.KnownFor = now.Sub(p.heardSince)
		}
		s.Members = append(s.Members, member)
	}
	slices.SortFunc(s.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// hasPaused reports whether the last tick was so long ago that others may have removed this VM meanwhile.
func (m *Mesh) hasPaused(now pimclock.Instant) bool {
	return m.lastHeartbeat == 0 || now.Sub(m.lastHeartbeat) > pauseGap
}

// isIncomplete reports whether there may be VMs that this VM does not know: it knows fewer than another one, or has had no way yet to
// learn of all. After a start or a pause, it has to hear from a VM that knows all, or to wait for the hellos that any VM sends to
// a silent one. Each seed counts as running for the removal timeout, like any VM that does not answer.
func (m *Mesh) isIncomplete(now pimclock.Instant) bool {
	isOther := func(a netip.AddrPort) bool { return a != m.cfg.Address }
	isUnknown := func(a netip.AddrPort) bool { return isOther(a) && !m.hasHeard(a) }
	age := now.Sub(m.runningSince)
	switch {
	case m.hasPaused(now) || m.lacksPeers():
		return true
	case !slices.ContainsFunc(m.cfg.Seeds, isOther) || age > m.removalTimeout():
		return false
	case !m.informed && age <= m.cfg.HelloInterval+m.cfg.PeerTimeout:
		return true
	default:
		return m.lastReceived < m.runningSince || slices.ContainsFunc(m.cfg.Seeds, isUnknown)
	}
}

// knownToReport returns the number of VMs of the data centre that this VM knows, or zero if there may be others.
func (m *Mesh) knownToReport(now pimclock.Instant) int {
	if m.isIncomplete(now) {
		return 0
	}
	return len(m.peers) + 1
}

// recordKnown records the number of VMs that the sender of a heartbeat knows. A heartbeat that has waited since before this VM started or
// resumed may be out of date.
func (m *Mesh) recordKnown(p *peer, sentAt pimclock.Instant, known int) {
	if known > 0 && !sentAt.Before(m.runningSince) {
		p.known, m.informed = known, true
	}
}

// hasHeard reports whether a VM of any data centre is known that has been heard from.
func (m *Mesh) hasHeard(a netip.AddrPort) bool {
	p := m.known(a)
	return p != nil && p.receivedAt != 0
}

// lacksPeers reports whether another VM knew more VMs than this one when it was last heard from. Heartbeats name running VMs only,
// so a VM that starts does not learn of one that is silent; without the number, it would take over the work of that VM.
func (m *Mesh) lacksPeers() bool {
	for _, p := range m.peers {
		if p.known > len(m.peers)+1 {
			return true
		}
	}
	return false
}
