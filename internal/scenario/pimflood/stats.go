package pimflood

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// counters holds the results of one contract in one phase.
type counters struct {
	offered, answered, refusals int
	// offeredWork and answeredWork are sums of run times, because a guarantee is a number of slots, not of requests.
	offeredWork, answeredWork time.Duration
	// steadyOffered and steadyAnswered exclude the first second of the phase. An answer counts in the phase in which it
	// arrives.
	steadyOffered, steadyAnswered time.Duration
	wait                          *hdrhistogram.Histogram
}

// slotUse holds sums over all owners and all samples of one phase, in slots.
type slotUse struct {
	running, capacity, idleWhileWaiting int
}

// second counts the attempts, retries included, and the refusals in one second of the run.
type second struct {
	attempts int
	refusals map[pimid.ContractID]int
}

type stats struct {
	cfg     Config
	ends    []pimclock.Instant
	counts  []map[pimid.ContractID]*counters
	uses    []slotUse
	sheds   int
	seconds []second
}

func newStats(cfg Config) *stats {
	s := &stats{cfg: cfg, uses: make([]slotUse, len(cfg.Phases))}
	end := pimclock.Instant(0)
	for _, p := range cfg.Phases {
		end = end.Add(p.Length)
		s.ends = append(s.ends, end)
		m := map[pimid.ContractID]*counters{}
		for id := range Names {
			m[id] = &counters{wait: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		}
		s.counts = append(s.counts, m)
	}
	return s
}

func (s *stats) end() pimclock.Instant { return s.ends[len(s.ends)-1] }

func (s *stats) phaseAt(now pimclock.Instant) int {
	for i, end := range s.ends {
		if now.Before(end) {
			return i
		}
	}
	return len(s.ends) - 1
}

// settling is the time at the start of each phase that the steady counters exclude, because queues grow or drain then.
const settling = time.Second

// steady reports whether an instant lies after the settling time of its phase.
func (s *stats) steady(now pimclock.Instant) bool {
	i := s.phaseAt(now)
	return !now.Before(s.ends[i].Add(settling - s.cfg.Phases[i].Length))
}

func (s *stats) offered(r *request) {
	c := s.counts[r.phase][r.contract]
	c.offered++
	c.offeredWork += r.duration
	if s.steady(r.created) {
		c.steadyOffered += r.duration
	}
}

// second returns the counters of one second of the run.
func (s *stats) second(now pimclock.Instant) *second {
	i := int(time.Duration(now) / time.Second)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, second{refusals: map[pimid.ContractID]int{}})
	}
	return &s.seconds[i]
}

// attempt counts one arrival at an entry VM.
func (s *stats) attempt(now pimclock.Instant) { s.second(now).attempts++ }

// started records the wait from the arrival of the attempt at its entry VM to its start on the backend server.
func (s *stats) started(r *request, now pimclock.Instant) {
	wait := now.Sub(r.arrived)
	c := s.counts[s.phaseAt(now)][r.contract]
	_ = c.wait.RecordValue(int64(wait / time.Microsecond))
}

// answered counts an answer in the phase in which the request was created, and in the steady counters of the current
// phase.
func (s *stats) answered(r *request, now pimclock.Instant) {
	c := s.counts[r.phase][r.contract]
	c.answered++
	c.answeredWork += r.duration
	if s.steady(now) {
		s.counts[s.phaseAt(now)][r.contract].steadyAnswered += r.duration
	}
}

func (s *stats) refused(r *request, now pimclock.Instant) {
	c := s.counts[s.phaseAt(now)][r.contract]
	c.refusals++
	s.second(now).refusals[r.contract]++
}

// sample adds the current use of the slots of one owner to the current phase.
func (s *stats) sample(now pimclock.Instant, l pimslot.Load) {
	u := &s.uses[s.phaseAt(now)]
	u.running += l.Running
	u.capacity += l.Capacity
	if l.Waiting > 0 {
		u.idleWhileWaiting += max(l.Capacity-l.Running, 0)
	}
}
