package pimconfig

import (
	"sort"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// eventLog keeps the newest events, up to limit bytes; it can serve batches that start at any revision from start to
// end.
type eventLog struct {
	start, end pimid.Revision
	events     []Event
	bytes      int
	limit      int
}

func (l *eventLog) add(b Batch) {
	l.events = append(l.events, b.Events...)
	for _, e := range b.Events {
		l.bytes += eventSize(e)
	}
	l.end = b.To
	l.trim()
}

// trim removes the oldest revisions, each with all its events, until the log fits its limit.
func (l *eventLog) trim() {
	n := 0
	for l.bytes > l.limit && n < len(l.events) {
		l.start = l.events[n].Revision
		for n < len(l.events) && l.events[n].Revision == l.start {
			l.bytes -= eventSize(l.events[n])
			n++
		}
	}
	if n > 0 {
		l.events = append([]Event(nil), l.events[n:]...)
	}
}

// reset empties the log, so that it starts and ends at a revision.
func (l *eventLog) reset(at pimid.Revision) {
	*l = eventLog{start: at, end: at, limit: l.limit}
}

// since returns the events after from, up to maxBytes but at least one whole revision; ok is false if the log does not
// reach back to from or ends before it.
func (l *eventLog) since(from pimid.Revision, maxBytes int) (b Batch, ok bool) {
	if from < l.start || from > l.end {
		return Batch{}, false
	}
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].Revision > from })
	b = Batch{From: from, To: l.end}
	size, last := 0, first
	for i := first; i < len(l.events); i++ {
		size += eventSize(l.events[i])
		newRevision := i > first && l.events[i].Revision != l.events[i-1].Revision
		if newRevision && size > maxBytes {
			b.To = l.events[i-1].Revision
			break
		}
		last = i + 1
	}
	b.Events = l.events[first:last:last]
	return b, true
}

// eventSize estimates the encoded size of an event in bytes.
func eventSize(e Event) int { return len(e.Key) + len(e.Value) + 16 }
