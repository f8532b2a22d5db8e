package pimgossip

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Reads reports whether this VM should read the platform now. One VM of a data centre reads, and the others hear of the
// changes from it. The one with the highest hash among those that are heard and can read is the first; the others step
// in, one after the other, if their view gets older than a reader that works would let it become. A VM that hears
// nobody is the first.
func (m *Mesh) Reads(now pimclock.Instant, age time.Duration) bool {
	rank := m.Rank(now)
	if rank == 0 {
		return true
	}
	wait := time.Duration(min(rank, m.cfg.TakeOverRanks)-1) * m.cfg.TakeOverStep
	return age > m.cfg.TakeOver+wait
}

// Rank returns the number of VMs that read the platform rather than this one.
func (m *Mesh) Rank(now pimclock.Instant) (rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := readerHash(m.cfg.Name)
	if !m.canRead {
		own = 0
	}
	for _, p := range m.running(now) {
		if p.canRead && readerHash(p.name) > own {
			rank++
		}
	}
	return rank
}

// SetCanRead records whether the last read of the platform succeeded.
func (m *Mesh) SetCanRead(ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.canRead = ok
}

func readerHash(name string) uint64 { return xxhash.Sum64String(name) }

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
