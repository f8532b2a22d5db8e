package pimfleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against a failed VM that is not removed from the live list, and against lost datagrams that make the others
// declare a running VM dead.
func TestOnlyFailedVMsAreDeclaredDead(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		for range 30 {
			f.Run(time.Second)
			if n := f.falselyDead(); n > 0 {
				return fmt.Errorf("%d pairs of running VMs of which one considers the other dead", n)
			}
		}
		f.VM(7).Kill()
		return f.within(detectBound, "failure known", func(vm *VM) bool {
			return vm.DataCentre != f.VM(7).DataCentre || len(vm.Members.Live(vm.DataCentre)) == o.PerDataCentre-1
		})
	}, func(o *Options) { o.Member.SuspicionTimeout, o.Loss = time.Nanosecond, 0.3 })
}

// Guards against a drain that some VM of the data centre does not know within the bound of R6 of docs/design.md while
// the platform is down.
func TestDrainIsKnownWithinBound(t *testing.T) {
	t.Parallel()
	testCheck(t, drainKnown, func(o *Options) { o.Member.PushInterval, o.PerDataCentre = time.Hour, 256 })
}

func drainKnown(o Options) error {
	f, err := started(o)
	if err != nil {
		return err
	}
	f.SetDown(true)
	f.VM(2).Members.ReportBackend(9, pimmember.BackendStatus{Draining: true})
	return f.within(drainBound, "drain known", func(vm *VM) bool {
		s, _ := vm.Members.BackendStatus(9)
		return s.Draining || vm.DataCentre != f.VM(2).DataCentre
	})
}

// Guards against VMs that still consider the other side of a partition dead after the partition has ended.
func TestHealedPartitionRejoins(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		f.Partition(func(a, b pimid.NodeID) bool { return a%2 != b%2 })
		f.Run(30 * time.Second)
		if f.falselyDead() == 0 {
			return errors.New("partition was not detected")
		}
		f.Partition(nil)
		return f.within(30*time.Second, "all live again", func(vm *VM) bool {
			return len(vm.Members.Live(vm.DataCentre)) == o.PerDataCentre
		})
	}, func(o *Options) {
		// In the faulty variant, a VM sends nothing to VMs that it has declared dead.
		o.Drop = func(from *VM, to pimid.NodeID, _ *pimpb.Gossip) bool {
			m, ok := from.Members.Member(to)
			return ok && m.State == pimmember.Dead
		}
	})
}

// Guards against a VM that declares all others dead when it resumes after a pause, or is not accepted as live again.
func TestPausedVMRejoins(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		f.VM(3).SetPaused(true)
		f.Run(20 * time.Second)
		f.VM(3).SetPaused(false)
		return f.within(20*time.Second, "paused VM live again", func(vm *VM) bool {
			return len(vm.Members.Live(vm.DataCentre)) == o.PerDataCentre
		})
	}, func(o *Options) {
		o.Drop = func(from *VM, _ pimid.NodeID, g *pimpb.Gossip) bool {
			// In the faulty variant, a VM that refutes its own death sends no updates, so that the refutation is lost.
			m, _ := from.Members.Member(from.ID)
			return m.Counter > 0 && len(g.GetMembers()) > 0
		}
	})
}

// Guards against peers that do not learn the successor of a leaving VM, or that keep it in the list of live VMs, which
// may own keys.
func TestSuccessorOfLeavingVMIsKnown(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		vm := f.VM(4)
		self, _ := vm.Members.Member(4)
		id, inc, ok := vm.Members.Successor()
		if !ok || id == 4 {
			return errors.New("no successor")
		}
		vm.Send(vm.Members.Leave(f.Now(), id, inc))
		return f.within(drainBound, "successor known", func(other *VM) bool {
			got, gotInc, ok := other.Members.SuccessorOf(4, self.Incarnation)
			live := len(other.Members.Live(vm.DataCentre)) == o.PerDataCentre-1
			return other.DataCentre != vm.DataCentre || ok && got == id && gotInc == inc && live
		})
	}, func(o *Options) {
		o.Drop = func(from *VM, _ pimid.NodeID, _ *pimpb.Gossip) bool { return from.ID == 4 }
	})
}

// Guards against a data centre that still considers a VM of another data centre live after its failure, or dead after
// its return, if the updates were lost in a partition.
func TestOtherDataCentresLearnFailureAndReturn(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		apart := func(a, b pimid.NodeID) bool { return f.VM(a).DataCentre != f.VM(b).DataCentre }
		live := func(n int) func(*VM) bool {
			return func(vm *VM) bool { return len(vm.Members.Live("dc1")) == n }
		}
		f.Partition(apart)
		f.VM(7).Kill()
		f.Run(40 * time.Second)
		f.Partition(nil)
		if err = f.within(30*time.Second, "failure known everywhere", live(o.PerDataCentre-1)); err != nil {
			return err
		}
		f.Partition(apart)
		f.VM(7).Restart(1, 2, 3)
		f.VM(7).Members.SetPublished(f.Now(), 1, f.Published())
		f.Run(40 * time.Second)
		f.Partition(nil)
		return f.within(30*time.Second, "return known everywhere", live(o.PerDataCentre))
	}, func(o *Options) {
		o.Drop = func(_ *VM, _ pimid.NodeID, g *pimpb.Gossip) bool {
			// The faulty variant exchanges no digests, so that updates that were lost in the partition are not
			// sent again.
			return g.GetKind() == pimpb.GossipKind_GOSSIP_KIND_DIGEST
		}
	})
}
