package pimplace

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// minMisses is the number of flows in a row without an answer that show that a backend server answers nobody. At a loss
// of 0.1% of the packets, three in a row happen by chance once in 10^8 flows.
const minMisses = 3

// minOpenFlowMisses is how many of them must be open flows whose data is not confirmed: a backend server that takes no new
// flows may well serve the open ones.
const minOpenFlowMisses = 2

// minSilence is how long the silence must have lasted. Packets of a VM with a slow link or processor wait up to half a
// second, and answers come as much later.
const minSilence = time.Second

// maxMissAge is how long after the last flow without an answer a backend server stays dark. Flows of a dark one are reset and
// so bring no news of it: then they are let through again, and the first of them without an answer, after 200 ms, makes it
// dark at once.
const maxMissAge = 500 * time.Millisecond

// recentAnswerAge is how long ago a backend server may have answered to count as one that this VM has tried.
const recentAnswerAge = 2 * time.Second

// IsUnresponsive reports whether a backend server answers nobody. If half or more of those that this VM has tried lately do not
// answer, the fault is taken to be on this side, and none of them is dark.
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

// looksUnresponsive counts the flows without an answer. A sign of life that another VM saw afterwards outweighs them: then the
// fault is between this VM and the backend server, or its own.
func (p *Placer) looksUnresponsive(now pimclock.Instant, id pimcatalog.HostID) bool {
	load := p.observer.Load(now, id)
	enough := load.Misses >= minMisses && load.Repeated >= minOpenFlowMisses && now.Sub(load.MissedFrom) >= minSilence
	isRecent := now.Sub(load.MissedAt) <= maxMissAge
	return enough && isRecent && !load.MissedFrom.Before(load.AliveElsewhere)
}
