package pimplace

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// minMisses is the number of consecutive flows without an answer from which a backend server can count as unresponsive.
// At a packet loss of 0.1%, three in a row happen by chance once in 10^8 flows.
const minMisses = 3

// minOpenFlowMisses is how many of them must be open flows whose data is not acknowledged: a backend server that
// accepts no new flows may still serve the open ones.
const minOpenFlowMisses = 2

// minSilence is the minimum time since the first unanswered packet was sent. Packets of a VM with a slow link or processor
// are queued for up to half a second, which delays the answers by as much.
const minSilence = time.Second

// maxMissAge is how long a backend server stays unresponsive after its last miss. Flows of an unresponsive backend
// server are reset, so they give no new evidence. When this time has passed, packets are forwarded to it again, and the
// first further miss, after 200 ms, makes it unresponsive at once.
const maxMissAge = 500 * time.Millisecond

// recentAnswerAge is the age up to which a sign of life shows that this VM reaches a backend server.
const recentAnswerAge = 2 * time.Second

// IsUnresponsive reports whether a backend server does not answer any VM. If half or more of the backend servers that
// this VM has used recently do not answer, the fault is assumed to be at this VM, and none counts as unresponsive.
func (p *Placer) IsUnresponsive(now pimclock.Instant, c *pimcatalog.Catalog, id pimcatalog.HostID) bool {
	h := c.Host(id.Tag())
	if h == nil || !p.looksUnresponsive(now, id) {
		return false
	}
	answering, silent := 0, 0
	for _, other := range c.Hosts() {
		switch load := p.observer.Load(now, other.ID); {
		case load.Misses > 0:
			silent++
		case load.AliveAt != 0 && now.Sub(load.AliveAt) <= recentAnswerAge:
			answering++
		}
	}
	return silent < answering
}

// looksUnresponsive reports whether the misses of one backend server are sufficient and recent. A sign of life that
// another VM has seen after the first of them overrides them, since the fault is then at this VM or on its path to the
// backend server.
func (p *Placer) looksUnresponsive(now pimclock.Instant, id pimcatalog.HostID) bool {
	load := p.observer.Load(now, id)
	enough := load.Misses >= minMisses && load.OpenFlowMisses >= minOpenFlowMisses && now.Sub(load.MissedFrom) >= minSilence
	isRecent := now.Sub(load.MissedAt) <= maxMissAge
	return enough && isRecent && !load.MissedFrom.Before(load.AliveElsewhere)
}
