package pimquota

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// refreshPeriod is the time after which every open flow has been refreshed through some VM.
	refreshPeriod = 30 * time.Second
	flowSlot      = time.Second
	flowSlots     = int(refreshPeriod / flowSlot)
	// flowDeviations keeps the refusals by chance below 1 in 30,000 opens while the flows are at the limit.
	flowDeviations = 4
)

// flowEstimator counts opens and refreshes of the last refresh period, which estimates this VM's part of the open
// flows.
type flowEstimator struct {
	slots   [flowSlots]int
	total   int
	last    int64
	started pimclock.Instant
}

func newFlowEstimator(now pimclock.Instant) flowEstimator {
	return flowEstimator{last: int64(time.Duration(now) / flowSlot), started: now}
}

func (f *flowEstimator) advance(now pimclock.Instant) {
	at := int64(time.Duration(now) / flowSlot)
	for n := 0; f.last < at && n < flowSlots; n++ {
		f.last++
		i := f.last % int64(flowSlots)
		f.total -= f.slots[i]
		f.slots[i] = 0
	}
	f.last = max(f.last, at)
}

func (f *flowEstimator) add(now pimclock.Instant) {
	f.advance(now)
	f.slots[f.last%int64(flowSlots)]++
	f.total++
}

// room reports whether one more flow stays within the share plus four standard deviations. A VM that has counted for
// less than a refresh period has seen only that part of its flows, so the share is reduced likewise.
func (f *flowEstimator) room(now pimclock.Instant, share float64) bool {
	f.advance(now)
	seen := min(now.Sub(f.started).Seconds()/refreshPeriod.Seconds(), 1) * share
	return float64(f.total)+1 <= seen+flowDeviations*math.Sqrt(max(seen, min(share, 1)))
}
