package pimmember

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// BackendStatus is the state of a backend server as its owner observed it.
type BackendStatus struct {
	Generation  pimid.Generation
	Version     uint64
	Draining    bool
	Failed      bool
	Connections pimid.Connections
}

// backendTable holds the newest status per backend server. It has a lock of its own, so that reads do not wait for the
// failure detector.
type backendTable struct {
	mu      sync.RWMutex
	updates map[pimid.BackendID]*pimpb.BackendUpdate
	// abnormal holds the sorted ids of the backend servers that are draining or failed.
	abnormal []pimid.BackendID
}

func (t *backendTable) init() { t.updates = map[pimid.BackendID]*pimpb.BackendUpdate{} }

// BackendStatus returns the newest known status of a backend server; it reports false if there is none.
func (m *Members) BackendStatus(id pimid.BackendID) (BackendStatus, bool) {
	m.backends.mu.RLock()
	defer m.backends.mu.RUnlock()
	u, ok := m.backends.updates[id]
	if !ok {
		return BackendStatus{}, false
	}
	return BackendStatus{
		Generation: pimid.Generation(u.GetGeneration()), Version: u.GetVersion(), Draining: u.GetDraining(),
		Failed: u.GetFailed(), Connections: pimid.Connections(u.GetConnections()),
	}, true
}

// ReportBackend gossips an observation of the owner of a backend server. The version in s is ignored; each change gets
// the next version. A report that changes neither the generation nor Draining nor Failed is dropped, even if
// Connections differs.
func (m *Members) ReportBackend(id pimid.BackendID, s BackendStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &pimpb.BackendUpdate{
		Backend: uint32(id), Generation: uint32(s.Generation), Draining: s.Draining, Failed: s.Failed,
		Connections: uint32(s.Connections), Version: 1,
	}
	if old := m.backends.get(id); old != nil {
		if old.GetGeneration() == u.GetGeneration() && old.GetDraining() == s.Draining && old.GetFailed() == s.Failed {
			return
		}
		u.Version = old.GetVersion() + 1
	}
	m.applyBackend(u)
}

// RemoveBackend removes the status of a backend server that the configuration no longer contains.
func (m *Members) RemoveBackend(id pimid.BackendID) {
	m.backends.mu.Lock()
	defer m.backends.mu.Unlock()
	delete(m.backends.updates, id)
	m.backends.markAbnormal(id, false)
}

func (m *Members) applyBackend(u *pimpb.BackendUpdate) {
	if u.GetGeneration() > 1<<16-1 || !m.backends.set(u) {
		return
	}
	m.changes.Add(1)
	m.queue.add(backendItem(u), 0)
}

func (t *backendTable) get(id pimid.BackendID) *pimpb.BackendUpdate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.updates[id]
}

// set stores an update if it is newer than the known one.
func (t *backendTable) set(u *pimpb.BackendUpdate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := pimid.BackendID(u.GetBackend())
	if old, ok := t.updates[id]; ok && compareBackend(u, old) <= 0 {
		return false
	}
	t.updates[id] = u
	t.markAbnormal(id, u.GetDraining() || u.GetFailed())
	return true
}

// markAbnormal adds a backend server to the sorted abnormal ids or removes it.
func (t *backendTable) markAbnormal(id pimid.BackendID, abnormal bool) {
	at, ok := slices.BinarySearch(t.abnormal, id)
	if ok && !abnormal {
		t.abnormal = slices.Delete(t.abnormal, at, at+1)
	}
	if !ok && abnormal {
		t.abnormal = slices.Insert(t.abnormal, at, id)
	}
}

// compareBackend orders updates by generation and version. Two owners may choose the same version while their views
// differ; then the worse state wins on every VM, since a needless drain costs less than requests to a leaving backend
// server.
func compareBackend(a, b *pimpb.BackendUpdate) int {
	return cmp.Or(
		cmp.Compare(a.GetGeneration(), b.GetGeneration()),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		compareBool(a.GetDraining(), b.GetDraining()),
		compareBool(a.GetFailed(), b.GetFailed()),
		cmp.Compare(a.GetConnections(), b.GetConnections()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Backends returns the ids of all backend servers with a status.
func (m *Members) Backends() []pimid.BackendID {
	m.backends.mu.RLock()
	defer m.backends.mu.RUnlock()
	return slices.Sorted(maps.Keys(m.backends.updates))
}
