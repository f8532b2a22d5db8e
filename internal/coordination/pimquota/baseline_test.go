package pimquota

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// pooled is the limiter under test.
type pooled struct{ s *sim }

func (p pooled) request(now pimclock.Instant, vm int, admit func()) {
	wait := WaitLimit{Deadline: now.Add(simWait), ExtendedDeadline: now.Add(simExtendedWait)}
	p.s.vms[vm].pool.Request(now, wait, simContract, 1, func(ok bool, _ time.Duration) {
		if ok {
			admit()
		}
	})
}

func (p pooled) tick(now pimclock.Instant, vm int) { p.s.vms[vm].pool.Tick(now) }

// static is the baseline in which every VM has a fixed fraction of the limit.
type static struct{ buckets []bucket }

func newStatic(n int, limit Limit) *static {
	s := &static{buckets: make([]bucket, simMaxVMs)}
	for i := range s.buckets {
		s.buckets[i] = bucket{rate: float64(limit.Rate) / float64(n), depth: limit.Burst / float64(n)}
	}
	return s
}

func (s *static) request(now pimclock.Instant, vm int, admit func()) {
	if s.buckets[vm].take(now, 1) {
		admit()
	}
}

func (s *static) tick(pimclock.Instant, int) {}

// single is the baseline in which the owner of the contract has the whole limit. A VM asks the VM that it considers
// the owner, and a new owner starts with a full bucket.
type single struct {
	s       *sim
	buckets []bucket
}

func newSingle(s *sim, limit Limit) *single {
	l := &single{s: s, buckets: make([]bucket, simMaxVMs)}
	for i := range l.buckets {
		l.buckets[i] = bucket{rate: float64(limit.Rate), depth: limit.Burst, tokens: limit.Burst}
	}
	return l
}

func (l *single) request(now pimclock.Instant, vm int, admit func()) {
	owner := l.s.owner(vm)
	if o := l.s.vms[owner]; o.up && !o.paused && !l.s.split(vm, owner) && l.buckets[owner].take(now, 1) {
		admit()
	}
}

func (l *single) tick(pimclock.Instant, int) {}
