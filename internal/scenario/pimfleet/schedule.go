package pimfleet

import (
	"container/heap"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// task is one event of the simulation. Tasks of the same instant run in the order in which they were added.
type task struct {
	at    pimclock.Instant
	order uint64
	run   func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *tasks) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*t = old[:len(old)-1]
	return last
}

// schedule is the simulated clock with the queue of pending tasks.
type schedule struct {
	clock pimclock.Manual
	queue tasks
	order uint64
}

func (s *schedule) at(when pimclock.Instant, run func()) {
	s.order++
	heap.Push(&s.queue, task{at: when, order: s.order, run: run})
}

// step runs the next task and reports whether there was one that was due by limit.
func (s *schedule) step(limit pimclock.Instant) bool {
	if len(s.queue) == 0 || s.queue[0].at > limit {
		return false
	}
	next := heap.Pop(&s.queue).(task)
	s.clock.Advance(next.at.Sub(s.clock.Now()))
	next.run()
	return true
}
