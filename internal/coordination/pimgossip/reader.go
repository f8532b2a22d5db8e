package pimgossip

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// claim is the announcement of a VM that it is the reader of the platform for its data centre.
type claim struct {
	hash uint64
	// at is when the VM announced it.
	at pimclock.Instant
}

// ShouldRead reports whether this VM reads the platform now. One VM of a data centre is the reader; the others learn
// from heartbeats about changes, or that there are none. A VM takes over when its view, whose age is given, is older
// than it gets while a reader works; see takeoverDelay. If two VMs read, the one with the lower hash stops. The last claim
// of a reader that has failed stops no other VM, since it is older than the take-over.
func (m *Mesh) ShouldRead(now pimclock.Instant, age time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case age > m.cfg.TakeoverAge && age > m.cfg.TakeoverAge+m.takeoverDelay(now):
		m.reading, m.readingSince = true, now
	case m.reading && m.claim.hash > m.hash && m.readingSince.Before(m.claim.at):
		m.reading = false
	}
	return m.reading
}

// takeOver makes this VM the reader in place of one that is about to stop, unless this VM is about to stop as well.
func (m *Mesh) takeOver(now pimclock.Instant) {
	if !m.stopping {
		m.reading, m.readingSince = true, now
	}
}

// takeoverDelay is the delay of this VM within TakeoverSpread. The VM with the highest hash takes over first, as it would stop
// the others. The number of VMs that have taken over doubles at equal intervals: usually the first one succeeds, and the others
// hear of it before many have followed; if the first ones cannot read the platform, all have tried soon.
func (m *Mesh) takeoverDelay(now pimclock.Instant) time.Duration {
	vms := float64(m.countRunning(now) + 1)
	rank := vms * (1 - float64(m.hash)/math.MaxUint64)
	return time.Duration(float64(m.cfg.TakeoverSpread) * math.Log2(1+rank) / math.Log2(1+vms))
}

// RetryScale returns the factor by which the delay after a failed read of the platform is longer than that of a small data
// centre. All VMs may be trying, so the delay grows with their number and the data centre calls at the same rate whatever its
// size; the first VM that succeeds informs the others.
func (m *Mesh) RetryScale(now pimclock.Instant) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, float64(m.countRunning(now)+1)/m.cfg.RetryingVMs)
}

// WatchTimeout returns how long the platform may hold the next watch: the view, whose age is given, must not get so old that
// other VMs take over. A VM that takes over needs the answer at once.
func (m *Mesh) WatchTimeout(age time.Duration) time.Duration {
	return max(time.Millisecond, m.cfg.WatchTimeout-age)
}

// SetCanRead records whether the last read of the platform succeeded. A VM that cannot read claims nothing.
func (m *Mesh) SetCanRead(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.canRead = ok
}

// IsReader reports whether this VM reads the platform for its data centre.
func (m *Mesh) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading && m.canRead
}

// hasRecentClaim reports whether another VM has claimed to be the reader within Settings.ClaimTTL.
func (m *Mesh) hasRecentClaim(now pimclock.Instant) bool {
	return m.claim.hash != 0 && now.Sub(m.claim.at) <= m.cfg.ClaimTTL
}

// claimToSend returns the claim of this VM if it is the reader, else the last recent one received, or nil. A VM that has taken
// over claims nothing before its view, whose age is given, is current: its first read may take seconds, and another reader
// must not stop meanwhile. One that is about to stop claims nothing either.
func (m *Mesh) claimToSend(now pimclock.Instant, age time.Duration) *pimmesh.Claim {
	switch {
	case m.reading && m.canRead && !m.stopping && age <= m.cfg.TakeoverAge:
		return &pimmesh.Claim{Hash: m.hash}
	case m.hasRecentClaim(now):
		return &pimmesh.Claim{Hash: m.claim.hash, Age: now.Sub(m.claim.at)}
	default:
		return nil
	}
}

// mergeClaim merges the claim of a received heartbeat: of recent claims, the highest hash wins, and for equal hashes
// the latest claim.
func (m *Mesh) mergeClaim(now pimclock.Instant, received *pimmesh.Claim) {
	if received == nil || received.Hash == m.hash || received.Age < 0 {
		return
	}
	candidate := claim{hash: received.Hash, at: now.Add(-received.Age)}
	isNewer := candidate.hash == m.claim.hash && m.claim.at.Before(candidate.at)
	if !m.hasRecentClaim(now) || candidate.hash > m.claim.hash || isNewer {
		m.claim = candidate
	}
}

// readerHash is the rank of a VM among readers; it is never 0, which means no claim.
func readerHash(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// Names returns the names of the running VMs of the data centre, sorted.
func (m *Mesh) Names(now pimclock.Instant) (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.running(now) {
		names = append(names, p.name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}
