package pimfleet

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/standin/standplatform"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// platform simulates the platform, which holds the configuration, without HTTP.
type platform struct {
	state *standplatform.State
	// replica is the old state that readers get instead of state; nil if the platform is not stale.
	replica *standplatform.State
	down    bool
	// cut reports whether a VM cannot reach the platform.
	cut func(id pimid.NodeID) bool
	// calls counts the reads that returned changes.
	calls uint64
}

// platformDelay is the round-trip time of one platform call.
const platformDelay = 20 * time.Millisecond

func newPlatform() platform { return platform{state: standplatform.NewState(), cut: noVM} }

// Put writes a key, as an operator does, and returns its revision. It panics if the value has no JSON encoding.
func (f *Fleet) Put(key string, value any) pimid.Revision {
	p, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return f.platform.state.Put(key, p)
}

// Delete deletes a key, as an operator does, and returns the revision.
func (f *Fleet) Delete(key string) pimid.Revision { return f.platform.state.Delete(key) }

// SetDown makes the platform unreachable or reachable for all VMs.
func (f *Fleet) SetDown(down bool) { f.platform.down = down }

// CutPlatform makes the platform unreachable for the VMs for which cut returns true; nil makes it reachable again.
func (f *Fleet) CutPlatform(cut func(id pimid.NodeID) bool) {
	if cut == nil {
		cut = noVM
	}
	f.platform.cut = cut
}

func noVM(pimid.NodeID) bool { return false }

// SetStale makes the platform serve the given old state; nil makes it serve the current state again.
func (f *Fleet) SetStale(old *standplatform.State) { f.platform.replica = old }

// PlatformState returns a copy of the platform's state, for use with SetStale.
func (f *Fleet) PlatformState() *standplatform.State { return f.platform.state.Clone() }

// PlatformCalls returns the number of calls in which readers got changes.
func (f *Fleet) PlatformCalls() uint64 { return f.platform.calls }

// readPlatform simulates a reader, which gets the changes since its revision. It gets a snapshot of all entries instead
// if the platform no longer has these changes or is at a lower revision, or if the reader holds no configuration.
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
	revision, keys := s.Entries()
	snap.Revision = revision
	for _, k := range keys {
		snap.Entries = append(snap.Entries, pimconfig.Event{Revision: k.Revision, Key: k.Key, Value: k.Value})
	}
	return snap
}

// isRejected reports whether the store refused a change, as it may, because it was stale or not contiguous.
func isRejected(err error) bool {
	return errors.Is(err, pimconfig.ErrStale) || errors.Is(err, pimconfig.ErrNotContiguous)
}
