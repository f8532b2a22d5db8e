package pimquota

import (
	"time"
)

// fault is one disturbance; lost is the bound on the part of the limit that goes unused because of it, in seconds at
// the full rate.
type fault struct {
	name   string
	inject func(s *sim)
	lost   float64
}

// afterPropagation runs do for every VM at a random time within propagationBound.
func (s *sim) afterPropagation(after time.Duration, do func(vm int)) {
	for vm := range s.vms {
		delay := time.Duration(s.rng.Float64() * float64(propagationBound))
		s.after(after+delay, func() { do(vm) })
	}
}

// suspect makes all VMs but the suspected one consider it dead, each at its own time.
func (s *sim) suspect(dead int, after time.Duration) {
	for vm := range s.vms {
		skew := time.Duration(s.rng.Float64() * float64(time.Second))
		s.after(after+skew, func() { s.down[vm][dead] = vm != dead })
	}
}

// unlist removes a VM from the published list of all VMs but itself; it cannot learn of the change while it is down
// or paused.
func (s *sim) unlist(dead int) {
	s.afterPropagation(listDelay, func(vm int) {
		if vm != dead {
			s.publish(vm, len(s.vms)-1)
		}
	})
}

func faults() []fault {
	listed := (listDelay + propagationBound + DefaultGrowthDelay).Seconds()
	return []fault{
		{"uneven spray", func(s *sim) {
			for i, vm := range s.vms {
				vm.weight = []float64{8, 4, 1, 1, 0.5, 0.5, 0.1, 0}[i%8]
			}
		}, 0},
		{"owner death", func(s *sim) {
			owner := s.owner(0)
			s.vms[owner].up = false
			s.suspect(owner, detection)
			s.unlist(owner)
		}, 2*ownerOutage.Seconds() + unusedShare*listed},
		{"join", func(s *sim) {
			vm := s.join(2)
			s.afterPropagation(0, func(other int) { s.publish(other, len(s.vms)) })
			s.publish(vm, len(s.vms))
		}, ownerOutage.Seconds() + unusedShare*(propagationBound+DefaultGrowthDelay).Seconds()},
		{"view skew", func(s *sim) {
			for i := range 20 {
				vm, dead := s.rng.IntN(4), s.owner(0)
				s.after(time.Duration(i)*time.Second, func() { s.down[vm][dead] = !s.down[vm][dead] })
			}
		}, 20 * ownerOutage.Seconds() / 4},
		{"partition", func(s *sim) {
			s.split = func(a, b int) bool { return (a < 4) != (b < 4) }
			s.after(partitionFor, func() { s.split = func(int, int) bool { return false } })
			for vm := range s.vms {
				for other := range s.vms {
					if (vm < 4) != (other < 4) {
						s.after(detection, func() { s.down[vm][other] = true })
						s.after(partitionFor+time.Second, func() { s.down[vm][other] = false })
					}
				}
			}
		}, 3 * ownerOutage.Seconds()},
		{"pause of the owner", pause(faultVMs - 1), 4*ownerOutage.Seconds() + unusedShare*(listed+DefaultGrowthDelay.Seconds())},
		{"pause of a member", pause(2), unusedShare * (listed + DefaultGrowthDelay.Seconds())},
		{"restart of the owner", func(s *sim) {
			owner := s.owner(0)
			s.vms[owner].pool = s.newPool(owner, 2)
			s.publish(owner, len(s.vms))
		}, 2*ownerOutage.Seconds() + unusedShare*DefaultGrowthDelay.Seconds()},
		{"lagging list", func(s *sim) {
			s.vms[1].up = false
			s.after(20*time.Second, func() { s.unlist(1) })
		}, unusedShare * faultRun.Seconds()},
	}
}

// pause stops a VM for longer than the removal from the list and the growth delay take; it continues with its old
// view and the messages that arrived meanwhile.
func pause(paused int) func(s *sim) {
	return func(s *sim) {
		s.vms[paused].paused = true
		s.suspect(paused, detection)
		s.unlist(paused)
		s.after(38*time.Second, func() { s.vms[paused].paused = false })
	}
}
