package pimquota

import (
	"math"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// refreshPeriod is the time after which every open flow has been refreshed through some VM.
	refreshPeriod = 30 * time.Second
	// flowSlot is the length of one slot of the counts.
	flowSlot = time.Second
	// flowSlots is one more than the slots of a refresh period, since the newest slot is not complete.
	flowSlots = int(refreshPeriod/flowSlot) + 1
	// flowDeviations is the number of standard deviations by which the count may exceed the share. It keeps the
	// refusals by sampling error below 1 in 30,000 opens while the flows are at the limit.
	flowDeviations = 4
	// startOpenFraction is the fraction of its share that a VM may open right after its start, before it has seen
	// refreshes of the older flows.
	startOpenFraction = 0.25
	// maxFlowSumAge is the largest age at which the owner's sum of the open flows is used.
	maxFlowSumAge = time.Second
)

// flowEstimator counts the opens and refreshes of the last refresh period. The count estimates this VM's share of the
// open flows.
type flowEstimator struct {
	// slots is a ring buffer of the counts of each slot, total their sum and last the number of the newest slot.
	slots   [flowSlots]int
	total   int
	last    int64
	started pimclock.Instant
	// opens counts the flows that were opened in the first refresh period.
	opens int
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

// open counts the open of a flow, which is refreshed for the first time one period later.
func (f *flowEstimator) open(now pimclock.Instant) {
	f.add(now)
	if now.Sub(f.started) < refreshPeriod {
		f.opens++
	}
}

// estimate returns the number of opens and refreshes within exactly one refresh period; the oldest slot counts in
// proportion to the part of it that lies within the period.
func (f *flowEstimator) estimate(now pimclock.Instant) float64 {
	f.advance(now)
	outside := float64(time.Duration(now)%flowSlot) / float64(flowSlot)
	return float64(f.total) - outside*float64(f.slots[(f.last+1)%int64(flowSlots)])
}

// hasRoom reports whether one more flow stays within the share plus four standard deviations. A VM that has counted
// for less than a refresh period has seen only that fraction of the refreshes of older flows, but all of its own opens.
// Counting opens as refreshes would refuse the callers that come back after a restart.
func (f *flowEstimator) hasRoom(now pimclock.Instant, share float64) bool {
	fraction := now.Sub(f.started).Seconds() / refreshPeriod.Seconds()
	if fraction >= 1 {
		return f.estimate(now)+1 <= share+flowDeviations*math.Sqrt(share)
	}
	opens := float64(f.opens)
	refreshes := f.estimate(now) - opens
	return opens+1 <= share*min(startOpenFraction+fraction, 1) &&
		refreshes <= fraction*max(share-opens, 0)+flowDeviations*math.Sqrt(max(fraction*share, min(share, 1)))
}

// flowSum is the owner's sum of the open flows, and the opens of this VM that are not in the sum.
type flowSum struct {
	// flows is the sum over the given number of members, in the answer to the request that was sent at the time at.
	flows   float64
	members float64
	at      pimclock.Instant
	opens   float64
	// opensSent is the value of opens when the last request was sent.
	opensSent float64
}

// update replaces the sum. It does not contain the opens since the request that carried this VM's count.
func (s *flowSum) update(sent pimclock.Instant, flows float64, members uint32) {
	if members == 0 {
		return
	}
	s.flows, s.members, s.at = flows, float64(members), sent
	s.opens -= s.opensSent
	s.opensSent = 0
}

func (s *flowSum) isFresh(now pimclock.Instant) bool {
	return s.members > 0 && now.Sub(s.at) <= maxFlowSumAge
}

// hasRoom reports whether one more flow stays within the members' fraction of the limit, if every member opens as many
// flows as this one until the next sum arrives. Every refresh passes one VM, so the sum has no sampling error.
func (s *flowSum) hasRoom(limit float64, nodes int) bool {
	fraction := min(s.members/float64(max(nodes, 1)), 1)
	return s.flows+(s.opens+1)*s.members <= limit*fraction
}
