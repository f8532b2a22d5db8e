package pimsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Loop runs events in the order of their instants; events of one instant run in the order in which they were added.
type Loop struct {
	// Clock is at the instant of the running event.
	Clock *pimclock.Manual
	// Rand is the only source of randomness.
	Rand   *rand.Rand
	events queue
	seq    uint64
}

// NewLoop returns a loop at instant zero without events.
func NewLoop(seed uint64) *Loop {
	return &Loop{Clock: &pimclock.Manual{}, Rand: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the instant of the running event.
func (l *Loop) Now() pimclock.Instant { return l.Clock.Now() }

// After schedules f for the instant after d; a negative d counts as zero.
func (l *Loop) After(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.Now().Add(max(d, 0)), seq: l.seq, run: f})
}

// Every schedules f once in each period from now on, first after one period.
func (l *Loop) Every(period time.Duration, f func()) {
	l.After(period, func() {
		f()
		l.Every(period, f)
	})
}

// Run runs all events up to and including the given instant and leaves the clock there.
func (l *Loop) Run(until pimclock.Instant) {
	for len(l.events) > 0 && !until.Before(l.events[0].at) {
		e := heap.Pop(&l.events).(event)
		l.Clock.Advance(e.at.Sub(l.Now()))
		e.run()
	}
	l.Clock.Advance(max(until.Sub(l.Now()), 0))
}

// Exp returns an exponentially distributed duration with the given mean.
func (l *Loop) Exp(mean time.Duration) time.Duration {
	return time.Duration(l.Rand.ExpFloat64() * float64(mean))
}

// Jitter returns d changed at random by up to the given fraction of d in both directions.
func (l *Loop) Jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(math.Round(float64(d) * (1 + fraction*(2*l.Rand.Float64()-1))))
}

type event struct {
	at  pimclock.Instant
	seq uint64
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
