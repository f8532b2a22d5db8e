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
	s := Membership{Incomplete: m.isCutOff(now) || m.lacksPeers(now)}
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

// isCutOff reports whether no VM has been heard from since this VM started or resumed, although it has seeds. Like any silent VM,
// the seeds count as running for the removal timeout.
func (m *Mesh) isCutOff(now pimclock.Instant) bool {
	hasSeeds := slices.ContainsFunc(m.cfg.Seeds, func(a netip.AddrPort) bool { return a != m.cfg.Address })
	return hasSeeds && m.lastReceived < m.runningSince && now.Sub(m.runningSince) <= m.removalTimeout()
}

// lacksPeers reports whether a running VM knows more VMs than this one. Heartbeats name running VMs only, so a VM that starts
// does not learn of one that is silent; without the number, it would take over the work of that VM.
func (m *Mesh) lacksPeers(now pimclock.Instant) bool {
	for _, p := range m.peers {
		if p.known > len(m.peers)+1 && m.isRunning(now, p) {
			return true
		}
	}
	return false
}
