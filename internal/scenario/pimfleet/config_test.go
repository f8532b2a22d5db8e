package pimfleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func withoutSync(o *Options) { o.NoSync = true }

// acceptLowerRevisions is the faulty variant whose store also accepts lower revisions of the platform.
func acceptLowerRevisions(o *Options) {
	o.Restore = func(vm *VM, snap pimconfig.Snapshot) error {
		vm.SetStore(pimconfig.NewStore(pimconfig.Settings{}))
		return vm.Store.Restore(snap)
	}
}

// Guards against an accepted configuration that is not in force on all VMs within the bound of R8 of docs/design.md.
func TestConfigInForceEverywhere(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		for i := range 3 {
			if err = f.converged(f.Put("services/2", service(2, fmt.Sprint(i)))); err != nil {
				return err
			}
		}
		return f.noRegression()
	}, withoutSync)
}

// Guards against a stale or restarted platform that takes VMs to a lower revision, and against a later change that is
// lost.
func TestStalePlatformNeverRevertsConfig(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		old := f.PlatformState()
		if err = f.converged(f.Put("services/1", service(1, "second"))); err != nil {
			return err
		}
		f.SetStale(old)
		f.Run(10 * time.Second)
		f.SetStale(nil)
		return errors.Join(f.noRegression(), f.converged(f.Put("services/1", service(1, "third"))), f.noRegression())
	}, acceptLowerRevisions)
}

// Guards against a VM that restarts without state during an outage of the platform and stays at a lower revision than
// its peers.
func TestRestartDuringOutageTakesHighestRevision(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		noSync := o.NoSync
		o.NoSync = false
		f, err := started(o)
		if err != nil {
			return err
		}
		last := f.Put("services/3", service(3, "late"))
		if err = f.converged(last); err != nil {
			return err
		}
		f.opts.NoSync = noSync
		f.SetDown(true)
		f.VM(5).Restart(1, 2, 3)
		f.VM(20).Restart(18, 19, 21)
		return errors.Join(f.converged(last), f.noRegression())
	}, withoutSync)
}

// Guards against a partition in which only one side reaches the platform and the platform is stale afterwards. The side
// with the lower revision must converge after the partition, and no side may go to a lower revision.
func TestHealedPartitionConverges(t *testing.T) {
	t.Parallel()
	odd := func(id pimid.NodeID) bool { return id%2 == 1 }
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		old := f.PlatformState()
		f.Partition(func(a, b pimid.NodeID) bool { return odd(a) != odd(b) })
		f.CutPlatform(odd)
		last := f.Put("services/1", service(1, "even side"))
		f.Run(20 * time.Second)
		if !f.All(func(vm *VM) bool { return odd(vm.ID) == (vm.Store.Revision() < last) }) {
			return errors.New("partition did not separate the sides")
		}
		f.Partition(nil)
		f.SetStale(old)
		f.CutPlatform(nil)
		return errors.Join(f.converged(last), f.noRegression())
	}, acceptLowerRevisions)
}

// Guards against VMs that stay at a lower revision because about half of the datagrams to every fourth VM are lost.
func TestUnevenDeliveryStillConverges(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		n := 0
		o.Drop = func(_ *VM, to pimid.NodeID, _ *pimpb.Gossip) bool {
			n++
			return to%4 == 0 && n%2 == 0
		}
		f, err := started(o)
		if err != nil {
			return err
		}
		return errors.Join(f.converged(f.Put("services/1", service(1, "second"))), f.noRegression())
	}, withoutSync)
}

// Guards against different states at one revision when operators change the same keys in quick succession.
func TestRacingChangesGiveOneState(t *testing.T) {
	t.Parallel()
	testCheck(t, func(o Options) error {
		f, err := started(o)
		if err != nil {
			return err
		}
		var last pimid.Revision
		for i := range 40 {
			last = f.Put(fmt.Sprintf("services/%d", 1+i%3), service(pimid.ServiceID(1+i%3), fmt.Sprint(i)))
			if i%7 == 0 {
				last = f.Delete("services/2")
			}
			f.Run(30 * time.Millisecond)
		}
		if err = f.converged(last); err != nil {
			return err
		}
		want := f.VM(1).Store.Digest()
		if !f.All(func(vm *VM) bool { return vm.Store.Digest() == want && vm.Store.Counters().Divergences == 0 }) {
			return errors.New("digests differ")
		}
		return f.noRegression()
	}, localWrite)
}

// localWrite is the faulty variant in which one VM applies a change of its own under the next revision.
func localWrite(o *Options) {
	done := false
	o.Drop = func(from *VM, _ pimid.NodeID, _ *pimpb.Gossip) bool {
		if r := from.Store.Revision(); r > 1 && !done {
			done = true
			own := pimconfig.Event{Revision: r + 1, Key: "services/9", Value: []byte(`{"id":9}`)}
			from.storeChanged(from.Store.Apply(pimconfig.Batch{From: r, To: r + 1, Events: []pimconfig.Event{own}}))
		}
		return false
	}
}
