package pimfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Fleet is a set of VMs on a simulated network. It is not safe for concurrent use.
type Fleet struct {
	schedule
	opts Options
	rng  *rand.Rand
	vms  []*VM
	// cut reports whether a partition separates two VMs.
	cut      func(a, b pimid.NodeID) bool
	platform platform
	// regressions counts how often a VM went to a lower revision than it had in the same incarnation.
	regressions int
	// starts counts the starts of all VMs.
	starts int64
}

// New starts a fleet in which every VM knows the published list of VMs and holds no configuration.
func New(opts Options) *Fleet {
	f := &Fleet{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)),
		cut: func(pimid.NodeID, pimid.NodeID) bool { return false }, platform: newPlatform(),
	}
	for dc := range opts.DataCentres {
		for range opts.PerDataCentre {
			id := pimid.NodeID(len(f.vms) + 1)
			f.vms = append(f.vms, &VM{fleet: f, ID: id, DataCentre: dcName(dc)})
		}
	}
	list := f.Published()
	for _, vm := range f.vms {
		vm.start(nil)
		vm.Members.SetPublished(f.Now(), 1, list)
	}
	return f
}

func dcName(i int) pimid.DataCentre { return pimid.DataCentre(fmt.Sprintf("dc%d", i+1)) }

func (f *Fleet) address(id pimid.NodeID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 7000)
}

// Published returns the published list, which holds all VMs.
func (f *Fleet) Published() []pimview.Node {
	list := make([]pimview.Node, 0, len(f.vms))
	for _, vm := range f.vms {
		list = append(list, pimview.Node{
			ID: vm.ID, DataCentre: vm.DataCentre, PeerAddress: f.address(vm.ID), State: pimview.NodeLive,
		})
	}
	return list
}

// Now returns the simulated time.
func (f *Fleet) Now() pimclock.Instant { return f.clock.Now() }

// VM returns the VM with the given id.
func (f *Fleet) VM(id pimid.NodeID) *VM { return f.vms[id-1] }

// VMs returns all VMs in the order of their ids.
func (f *Fleet) VMs() []*VM { return f.vms }

// Regressions returns how often a VM went to a lower revision than it had in the same incarnation.
func (f *Fleet) Regressions() int { return f.regressions }

// Run advances the simulation by d.
func (f *Fleet) Run(d time.Duration) {
	limit := f.Now().Add(d)
	for f.step(limit) {
	}
	f.clock.Advance(limit.Sub(f.Now()))
}

// RunUntil advances the simulation in steps of 20 ms until done returns true or limit has passed. It returns the time
// that passed and the last result of done.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (took time.Duration, ok bool) {
	const step = 20 * time.Millisecond
	for took < limit {
		if done() {
			return took, true
		}
		f.Run(step)
		took += step
	}
	return took, done()
}

// Partition drops all messages between two VMs for which cut returns true; nil ends the partition.
func (f *Fleet) Partition(cut func(a, b pimid.NodeID) bool) {
	if cut == nil {
		cut = func(pimid.NodeID, pimid.NodeID) bool { return false }
	}
	f.cut = cut
}

// All reports whether a condition holds on every running VM.
func (f *Fleet) All(cond func(vm *VM) bool) bool {
	for _, vm := range f.vms {
		if vm.up && !cond(vm) {
			return false
		}
	}
	return true
}

// AtRevision returns a condition for All: the VM has at least the given revision in force.
func AtRevision(r pimid.Revision) func(*VM) bool {
	return func(vm *VM) bool { return vm.Store.Revision() >= r }
}

// delay returns a random one-way delay for a message between two VMs.
func (f *Fleet) delay(a, b *VM) time.Duration {
	d := f.opts.LocalDelay
	if a.DataCentre != b.DataCentre {
		d = f.opts.Delay
	}
	return d + time.Duration(f.rng.Int64N(int64(d)/2+1))
}

func (f *Fleet) restore(vm *VM, snap pimconfig.Snapshot) error {
	if f.opts.Restore != nil {
		return f.opts.Restore(vm, snap)
	}
	return vm.Store.Restore(snap)
}
