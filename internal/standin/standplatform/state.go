package standplatform

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// logLimit is the number of latest events that are kept; a watch from an earlier revision fails with 410.
const logLimit = 4096

// KeyValue is one key with the revision of its last change.
type KeyValue struct {
	Key      string          `json:"key"`
	Revision pimid.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Event is one change of one key.
type Event struct {
	Revision pimid.Revision  `json:"revision"`
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// State holds the configuration, whose changes are totally ordered by revision, and the list of VMs; it is safe for
// concurrent use.
type State struct {
	mu sync.Mutex
	// era rises each time that the state is restored from a copy.
	era      pimid.Era
	revision pimid.Revision
	keys     map[string]KeyValue
	log      []Event
	// logStart is the revision of the last event that was dropped from log.
	logStart pimid.Revision
	vms      map[pimid.NodeID]pimview.Node
	// version counts the changes of the list of VMs.
	version uint64
	// changed is closed and replaced at every change of a key.
	changed chan struct{}
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{keys: map[string]KeyValue{}, vms: map[pimid.NodeID]pimview.Node{}, changed: make(chan struct{})}
}

// Put sets a key and returns its revision.
func (s *State) Put(key string, value json.RawMessage) pimid.Revision {
	return s.change(Event{Key: key, Value: value})
}

// Delete removes a key and returns the revision; a missing key changes nothing.
func (s *State) Delete(key string) pimid.Revision { return s.change(Event{Key: key, Deleted: true}) }

func (s *State) change(e Event) pimid.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[e.Key]; e.Deleted && !ok {
		return s.revision
	}
	s.revision++
	e.Revision = s.revision
	if e.Deleted {
		delete(s.keys, e.Key)
	} else {
		s.keys[e.Key] = KeyValue{Key: e.Key, Revision: e.Revision, Value: e.Value}
	}
	s.log = append(s.log, e)
	if drop := len(s.log) - logLimit; drop > 0 {
		s.logStart = s.log[drop-1].Revision
		s.log = slices.Clone(s.log[drop:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Compact removes all events, so that a watch from an earlier revision fails with 410 and its VM must read all entries.
func (s *State) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.logStart = nil, s.revision
}

// Entries returns the revision and all entries in the order of their keys.
func (s *State) Entries() (pimid.Revision, []KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]KeyValue, 0, len(s.keys))
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		out = append(out, s.keys[key])
	}
	return s.revision, out
}

// Era returns the number of times that the state was restored from a copy.
func (s *State) Era() pimid.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the keys by those of a copy and begins a new era: what was written since is lost, and its revisions are
// given out again.
func (s *State) Restore(from *State) {
	c := from.Clone()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.keys, s.log, s.logStart = c.revision, c.keys, c.log, c.logStart
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns the events after a revision and a channel that is closed at the next change. It reports false if
// the log does not reach back to the revision.
func (s *State) Since(from pimid.Revision) (to pimid.Revision, events []Event, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.logStart {
		return s.revision, nil, s.changed, false
	}
	at, _ := slices.BinarySearchFunc(s.log, from+1, func(e Event, r pimid.Revision) int {
		return int(e.Revision) - int(r)
	})
	return s.revision, slices.Clone(s.log[at:]), s.changed, true
}

// SetVM adds or changes a VM on the list.
func (s *State) SetVM(n pimview.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[n.ID] = n
	s.version++
}

// RemoveVM takes a VM off the list.
func (s *State) RemoveVM(id pimid.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, id)
	s.version++
}

// VMs returns the version and the VMs in order of id.
func (s *State) VMs() (uint64, []pimview.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]pimview.Node, 0, len(s.vms))
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		out = append(out, s.vms[id])
	}
	return s.version, out
}

// Clone returns an independent copy, for example to serve it as a stale replica.
func (s *State) Clone() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &State{
		era: s.era, revision: s.revision, keys: maps.Clone(s.keys), log: slices.Clone(s.log), logStart: s.logStart,
		vms: maps.Clone(s.vms), version: s.version, changed: make(chan struct{}),
	}
}
