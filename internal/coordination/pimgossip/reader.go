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

// claim is the news that a VM reads the platform.
type claim struct {
	hash uint64
	// at is when the VM said so.
	at pimclock.Instant
}

// ShouldRead reports whether this VM reads the platform now. One VM of a data centre reads, and the others hear of changes,
// and that there are none, from beat to beat. If two read, the one with the lower hash stops; the last news
// of a reader that has failed stops nobody, since it is older than the view that made another VM step in. A VM whose view gets older
// than a working reader would let it become steps in; the hash spreads those moments, so that few step in at once.
func (m *Mesh) ShouldRead(now pimclock.Instant, age time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case age > m.cfg.TakeoverAge+m.takeoverJitter():
		m.reading, m.readingSince = true, now
	case m.reading && m.claim.hash > m.hash && m.readingSince.Before(m.claim.at):
		m.reading = false
	}
	return m.reading
}

// jitter is this VM's part of the time over which the others step in.
func (m *Mesh) takeoverJitter() time.Duration {
	return time.Duration(float64(m.cfg.TakeoverSpread) * (float64(m.hash) / math.MaxUint64))
}

// WatchTimeout is how long the next watch may wait: a VM that steps in wants to know at once.
func (m *Mesh) WatchTimeout(age time.Duration) time.Duration {
	if age > m.cfg.TakeoverAge {
		return time.Millisecond
	}
	return m.cfg.WatchTimeout
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

// isClaimed reports whether a VM has said lately that it reads.
func (m *Mesh) hasRecentClaim(now pimclock.Instant) bool {
	return m.claim.hash != 0 && now.Sub(m.claim.at) <= m.cfg.ClaimTTL
}

// claimToTell returns the own claim, or the one heard.
func (m *Mesh) claimToSend(now pimclock.Instant) *pimmesh.Claim {
	switch {
	case m.reading && m.canRead:
		return &pimmesh.Claim{Hash: m.hash}
	case m.hasRecentClaim(now):
		return &pimmesh.Claim{Hash: m.claim.hash, Age: now.Sub(m.claim.at)}
	default:
		return nil
	}
}

// hearClaim takes the claim of a beat: the highest hash counts, and of that the latest news.
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
