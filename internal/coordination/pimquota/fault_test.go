package pimquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	faultVMs    = 8
	faultWarmUp = 17 * time.Second
	faultRun    = 45 * time.Second
	faultAt     = 5 * time.Second
	// detection is the time until the first VM considers an unresponsive VM dead, listDelay the time until the
	// platform removes it from the list.
	detection = 3 * time.Second
	listDelay = 5 * time.Second
	// unusedShare is the fraction of the limit that one VM owns.
	unusedShare = 1.0 / faultVMs
	// ownerOutage is the bound on the time for which the pool cannot be used when its owner fails or changes.
	ownerOutage = 1500 * time.Millisecond
	// steadyLoss is the fraction of the limit that may go unused without a fault.
	steadyLoss   = 0.02
	overloadRate = 1.5
	partitionFor = 20 * time.Second
	// faultMost is the largest number of admissions that the limit allows in one second.
	faultMost = 240
)

var faultLimit = Limit{Rate: 200, Burst: 40, DataCentreFraction: 1}

// outcome is what one limiter admitted under one set of faults.
type outcome struct {
	// worst is the largest number of admissions in any second; lost is the unused part of the limit, in
	// seconds at the full rate.
	worst int
	lost  float64
	// rate and depth are the largest sums of everything that could be used at one moment.
	rate, depth float64
}

func (o outcome) String() string {
	return fmt.Sprintf("worst %4d lost %6.2f s sums %.3f/s %.3f", o.worst, o.lost, o.rate, o.depth)
}

// runFaults offers 1.5 times the limit to one limiter, injects the faults after faultAt and returns what was
// admitted.
func runFaults(seed uint64, faults []fault, build func(s *sim) limiter) outcome {
	s := newSim(seed, faultVMs, faultLimit)
	s.loss = 0.02
	for vm := range s.vms {
		s.publish(vm, faultVMs)
	}
	l := build(s)
	s.run(faultWarmUp, 0, l)
	start := s.clock.Now()
	s.after(faultAt, func() {
		for _, f := range faults {
			f.inject(s)
		}
	})
	s.run(faultRun, overloadRate*float64(faultLimit.Rate), l)
	seconds := s.clock.Now().Sub(start).Seconds()
	return outcome{rate: s.mostRate, depth: s.mostDepth, worst: worstSecond(s.admitted), lost: seconds - float64(len(s.admitted))/float64(faultLimit.Rate)}
}

func buildPooled(s *sim) limiter { return pooled{s} }

// Guards against admission above the limit in any window of one second, and against use below the stated bound, in
// every fault alone and in every pair of faults.
func TestLimitHoldsInEveryFault(t *testing.T) {
	all := faults()
	for i, a := range all {
		for j := i; j < len(all); j++ {
			set, bound := []fault{a}, a.lost
			if j > i {
				set, bound = append(set, all[j]), bound+all[j].lost
			}
			t.Run(a.name+" and "+all[j].name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				got := runFaults(uint64(100*i+j), set, buildPooled)
				bound += steadyLoss*faultRun.Seconds() + splitLoss(set)
				t.Logf("pooled %v bound %.2f s", got, bound)
				is.True(got.worst <= faultMost) // over-admission
				is.True(got.lost <= bound)      // under-use
				is.True(got.rate <= float64(faultLimit.Rate)+rounding)
				is.True(got.depth <= faultLimit.Burst+rounding)
			})
		}
	}
}

// Guards against refusals far below the limit because the pool owner failed: without the wait for the end of the lease,
// every request was refused until then.
func TestOwnerFailureRefusesNothingBelowTheLimit(t *testing.T) {
	is := is.New(t)
	for _, limit := range []Limit{faultLimit, {Rate: 2000, Burst: 400, DataCentreFraction: 1}} {
		s := newSim(11, faultVMs, limit)
		for vm := range s.vms {
			s.publish(vm, faultVMs)
		}
		load := 0.25 * float64(limit.Rate)
		s.run(faultWarmUp, 0, pooled{s})
		s.run(faultAt, load, pooled{s})
		owner := s.owner(0)
		s.vms[owner].weight = 0
		s.vms[owner].up = false
		before := s.offered - len(s.admitted)
		s.suspect(owner, detection)
		s.run(2*detection, load, pooled{s})
		s.run(2*detection, 0, pooled{s})
		is.Equal(s.offered-len(s.admitted)-before, 0)
	}
}

// splitLoss is the part of the limit that VMs cannot use while the callers arrive at VMs that belong to another pool.
func splitLoss(set []fault) float64 {
	if len(set) < 2 || set[0].name != "uneven spray" {
		return 0
	}
	switch set[1].name {
	case "partition":
		// Half of the shares for the small demand of VMs 4 to 7.
		return (4.0/faultVMs - overloadRate*1.1/15.1) * partitionFor.Seconds()
	case "view skew":
		// At worst VMs 0 and 1 use another pool than the rest until the end.
		return (6.0/faultVMs - overloadRate*3.1/15.1) * (faultRun - faultAt).Seconds()
	default:
		return 0
	}
}

// Guards against a change that makes pooled shares no better than the alternatives: fixed fractions leave the limit
// unused under an uneven spray, one limiter per contract exceeds it when VMs disagree about the owner.
func TestBaselinesFail(t *testing.T) {
	for i, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			set, seed := []fault{f}, uint64(101*i)
			pooled := runFaults(seed, set, buildPooled)
			static := runFaults(seed, set, func(*sim) limiter { return newStatic(faultVMs, faultLimit) })
			single := runFaults(seed, set, func(s *sim) limiter { return newSingle(s, faultLimit) })
			t.Logf("pooled %v; static %v; single %v", pooled, static, single)
			switch f.name {
			case "uneven spray":
				is.True(static.lost > 10*pooled.lost)
			case "view skew", "partition", "pause of the owner":
				is.True(single.worst > faultMost)
			}
		})
	}
}

// Guards against refusals while the owner changes because a VM joined: the members get their shares back from the old
// owner at once instead of waiting for their leases to end.
func TestOwnerChangeRefusesFewRequests(t *testing.T) {
	is := is.New(t)
	s := newSim(3, faultVMs, faultLimit)
	for vm := range s.vms {
		s.publish(vm, faultVMs)
	}
	s.run(faultWarmUp, 0, pooled{s})
	s.run(faultAt, 0.7*float64(faultLimit.Rate), pooled{s})
	before := s.offered - len(s.admitted)
	s.publish(s.join(2), faultVMs+1)
	s.run(3*time.Second, 0.7*float64(faultLimit.Rate), pooled{s})
	refused := s.offered - len(s.admitted) - before
	t.Logf("%d refused after the join, %d before", refused, before)
	is.True(refused <= 10)
}

// Guards against limits with less than one permit per VM that cannot be used, or that drift over time: the pool admits
// what one limiter without faults admits, which loses permits only while its bucket is full.
func TestSmallLimits(t *testing.T) {
	for _, limit := range []Limit{
		{Rate: 2, Burst: 2, DataCentreFraction: 1},
		{Rate: 2, Burst: 1, DataCentreFraction: 1},
		{Rate: 0.5, Burst: 1, DataCentreFraction: 1},
		{Rate: 100, Burst: 10, DataCentreFraction: 1},
		{Rate: 1000, Burst: 10, DataCentreFraction: 1},
	} {
		t.Run(fmt.Sprint(limit.Rate, "/", limit.Burst), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			load := 2*float64(limit.Rate) + 16
			for seed := range uint64(3) {
				pooled, most := runSmallLimit(7+seed, limit, load, buildPooled)
				single, _ := runSmallLimit(7+seed, limit, load, func(s *sim) limiter { return newSingle(s, limit) })
				t.Logf("limit %v burst %v: pooled %d, single %d in 100 s, worst second %d", limit.Rate, limit.Burst, pooled, single, most)
				is.True(float64(pooled) >= 0.97*float64(single)-1)
				is.True(float64(pooled) <= 100*float64(limit.Rate)+limit.Burst)
				is.True(most <= int(float64(limit.Rate)+limit.Burst))
			}
		})
	}
}

func runSmallLimit(seed uint64, limit Limit, load float64, build func(s *sim) limiter) (admitted, most int) {
	s := newSim(seed, faultVMs, limit)
	for vm := range s.vms {
		s.publish(vm, faultVMs)
	}
	l := build(s)
	s.run(faultWarmUp, 0, l)
	s.run(100*time.Second, load, l)
	return len(s.admitted), worstSecond(s.admitted)
}
