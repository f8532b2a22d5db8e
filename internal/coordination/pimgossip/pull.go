package pimgossip

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// shouldPull reports whether the sender of a beat is asked for what it knows more, and notes that it is. While backend
// servers start one after the other, every beat tells a newer revision: one VM is asked at a time, so that the same
// changes are not told by many, and one that can tell the difference. The next one is asked once the answer has arrived, or
// could have.
func (m *Mesh) shouldPull(now pimclock.Instant, b *pimmesh.Beat, v View) bool {
	switch {
	case b.Revision <= v.Revision || v.Revision <= m.pulledSince && !isDue(now, m.pulled, m.cfg.PullEvery):
		return false
	case v.Revision >= max(1, b.Base):
		m.pulled, m.pulledSince = now, v.Revision
		return true
	case !m.mayPullAll(b, v) || !isDue(now, m.pulledAll, m.cfg.PullAllEvery):
		return false
	}
	m.pulled, m.pulledAll, m.pulledSince = now, now, v.Revision
	return true
}

// mayPullAll reports whether the sender is asked for everything. A VM that only lacks some changes hears of them from
// another VM, or reads the platform once its view is old; only if it cannot, everything is told once more. Bytes between
// data centres are dear, so another one is asked only if the platform cannot be read.
func (m *Mesh) mayPullAll(b *pimmesh.Beat, v View) bool {
	if !m.canRead {
		return true
	}
	return v.Revision == 0 && b.DataCentre == m.cfg.DataCentre
}

func isDue(now, last pimclock.Instant, every time.Duration) bool {
	return last == 0 || now.Sub(last) >= every
}
