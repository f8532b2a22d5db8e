package pimfleet

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/standin/standplatform"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// platform is the configuration service of the simulation, without HTTP.
type platform struct {
	state   *standplatform.State
	replica *standplatform.State
	down    bool
	// cut reports whether a VM cannot reach the platform.
	cut   func(id pimid.NodeID) bool
	calls uint64
}

// platformDelay is the time of one platform call, in both directions together.
const platformDelay = 20 * time.Millisecond

func newPlatform() platform { return platform{state: standplatform.NewState(), cut: noVM} }

// Put changes a key as an operator does and returns its revision.
func (f *Fleet) Put(key string, value any) pimid.Revision {
	p, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return f.platform.state.Put(key, p)
}

// Delete removes a key as an operator does and returns the revision.
func (f *Fleet) Delete(key string) pimid.Revision { return f.platform.state.Delete(key) }

// SetDown makes the platform unreachable or reachable.
func (f *Fleet) SetDown(down bool) { f.platform.down = down }

// CutPlatform makes the platform unreachable for some VMs; nil ends this.
func (f *Fleet) CutPlatform(cut func(id pimid.NodeID) bool) {
	if cut == nil {
		cut = noVM
	}
	f.platform.cut = cut
}

func noVM(pimid.NodeID) bool { return false }

// SetStale makes the platform serve the given old state; nil ends this.
func (f *Fleet) SetStale(old *standplatform.State) { f.platform.replica = old }

// PlatformState returns a copy of the platform's state, for use with SetStale.
func (f *Fleet) PlatformState() *standplatform.State { return f.platform.state.Clone() }

// PlatformCalls returns the number of calls that readers made.
func (f *Fleet) PlatformCalls() uint64 { return f.platform.calls }

// readPlatform is what a reader does: watch from its revision, and readPlatform all keys if that is not possible.
func (f *Fleet) readPlatform(vm *VM) {
	if f.platform.down || f.platform.cut(vm.ID) || vm.reading {
		return
	}
	state := f.platform.state
	if f.platform.replica != nil {
		state = f.platform.replica
	}
	from := vm.Store.Revision()
	to, events, _, ok := state.Since(from)
	if to == from && ok {
		return
	}
	f.platform.calls++
	b := pimconfig.Batch{From: from, To: to}
	for _, e := range events {
		b.Events = append(b.Events, pimconfig.Event{Revision: e.Revision, Key: e.Key, Value: e.Value, Deleted: e.Deleted})
	}
	run, needSnapshot := vm.run, !ok || from == 0 || to < from
	snap := pimconfig.Snapshot{}
	if needSnapshot {
		snap = snapshotOf(state)
	}
	vm.reading = true
	f.at(f.Now().Add(platformDelay), func() {
		if vm.run != run {
			return
		}
		vm.reading = false
		if needSnapshot {
			vm.storeChanged(f.restore(vm, snap))
			return
		}
		vm.storeChanged(vm.Store.Apply(b))
	})
}

func snapshotOf(s *standplatform.State) (snap pimconfig.Snapshot) {
	revision, keys := s.Keys()
	snap.Revision = revision
	for _, k := range keys {
		snap.Entries = append(snap.Entries, pimconfig.Event{Revision: k.Revision, Key: k.Key, Value: k.Value})
	}
	return snap
}

func isRejected(err error) bool {
	return errors.Is(err, pimconfig.ErrStale) || errors.Is(err, pimconfig.ErrNotContiguous)
}
