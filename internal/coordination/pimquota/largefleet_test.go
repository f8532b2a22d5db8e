package pimquota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const largeVMs = 24

// largeLimit gives each VM the same share as faultLimit gives the VMs of the small fleet.
var largeLimit = Limit{Rate: 25 * largeVMs, Burst: 5 * largeVMs, DataCentreFraction: 1}

// largeFaults returns the faults of the small fleet and three cases of the large one: a pause of its owner, no
// fault, and one busy VM followed by a flood at all VMs.
func largeFaults() []fault {
	owner := largeVMs - 1
	return append(faults(),
		fault{"pause of the large fleet's owner", pause(owner), 0},
		fault{"no fault", func(*sim) {}, 0},
		fault{"one busy vm, then a flood", func(s *sim) {
			for i, vm := range s.vms {
				vm.weight = 0.01
				if i == 1 {
					vm.weight = 1
				}
			}
			s.after(15*time.Second, func() {
				for _, vm := range s.vms {
					vm.weight = 1
				}
			})
		}, 0},
	)
}

// Guards against admission above the limit where members are rejected, keep their shares in a flood and lend them
// again, in every fault, including views of the owner that change every second.
func TestLimitHoldsInALargeFleet(t *testing.T) {
	for i, f := range largeFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(uint64(500+i), largeVMs, largeLimit)
			s.loss = 0.02
			for vm := range s.vms {
				s.publish(vm, largeVMs)
			}
			s.run(faultWarmUp, 0, pooled{s})
			s.after(faultAt, func() { f.inject(s) })
			for phase := range 3 {
				s.run(faultRun/3, overloadRate*float64(largeLimit.Rate)/float64(1+phase%2), pooled{s})
			}
			limit := float64(largeLimit.Rate)
			t.Logf("worst %d, sums %.3f/s %.3f, admitted %d of %d", worstSecond(s.admitted), s.mostRate, s.mostDepth, len(s.admitted), s.offered)
			is.True(float64(worstSecond(s.admitted)) <= limit+largeLimit.Burst)
			is.True(s.mostRate <= limit+rounding)
			is.True(s.mostDepth <= largeLimit.Burst+rounding)
		})
	}
}

// Guards against a busy VM of a large fleet that cannot use the shares of the others: with the demand of 10 shares at
// one VM, nearly all of it is admitted.
func TestBusyVMOfALargeFleet(t *testing.T) {
	is := is.New(t)
	s := newSim(77, largeVMs, largeLimit)
	for vm := range s.vms {
		s.publish(vm, largeVMs)
		s.vms[vm].weight = 0
	}
	s.vms[1].weight = 1
	s.run(faultWarmUp, 0, pooled{s})
	s.run(10*time.Second, 10*25, pooled{s})
	t.Logf("admitted %d of %d", len(s.admitted), s.offered)
	is.True(float64(len(s.admitted)) >= 0.98*float64(s.offered))
}
