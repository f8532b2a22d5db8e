package pimflow

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// flowQueue holds flows in the order in which something happened to them.
type flowQueue struct {
	entries []entry
	first   int
}

type entry struct {
	flow pimpacket.Flow
	at   pimclock.Instant
}

func (q *flowQueue) push(f pimpacket.Flow, at pimclock.Instant) {
	if q.first > len(q.entries)/2 && q.first > 64 {
		q.entries = append(q.entries[:0], q.entries[q.first:]...)
		q.first = 0
	}
	q.entries = append(q.entries, entry{flow: f, at: at})
}

// popBefore takes out the first entry if it is at or popBefore the given instant.
func (q *flowQueue) popBefore(at pimclock.Instant) (pimpacket.Flow, pimclock.Instant, bool) {
	if q.first == len(q.entries) || at.Before(q.entries[q.first].at) {
		return pimpacket.Flow{}, 0, false
	}
	e := q.entries[q.first]
	q.first++
	return e.flow, e.at, true
}
