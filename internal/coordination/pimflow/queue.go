package pimflow

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// flowQueue is a FIFO of flows with the time at which each was added, oldest first.
type flowQueue struct {
	entries []entry
	first   int
}

type entry struct {
	flow pimpacket.Flow
	at   pimclock.Instant
}

// push adds a flow; it compacts the slice once more than half of it, and more than 64 entries, have been removed.
func (q *flowQueue) push(f pimpacket.Flow, at pimclock.Instant) {
	if q.first > len(q.entries)/2 && q.first > 64 {
		q.entries = append(q.entries[:0], q.entries[q.first:]...)
		q.first = 0
	}
	q.entries = append(q.entries, entry{flow: f, at: at})
}

// popBefore removes and returns the oldest entry if it was added at or before the given instant.
func (q *flowQueue) popBefore(at pimclock.Instant) (pimpacket.Flow, pimclock.Instant, bool) {
	if q.first == len(q.entries) || at.Before(q.entries[q.first].at) {
		return pimpacket.Flow{}, 0, false
	}
	e := q.entries[q.first]
	q.first++
	return e.flow, e.at, true
}
