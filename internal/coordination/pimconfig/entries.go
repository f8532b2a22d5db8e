package pimconfig

import (
	"maps"
	"slices"
)

// bucket is the group of keys that form one snapshot chunk.
type bucket struct {
	keys map[string]struct{}
	// hash is valid unless dirty.
	hash  [HashSize]byte
	dirty bool
}

// put stores or deletes one key and keeps digest and buckets up to date.
func (s *Store) put(e Event) {
	b := &s.buckets[bucketOf(e.Key)]
	b.dirty = true
	if old, ok := s.entries[e.Key]; ok {
		xorInto(&s.digest.Hash, entryHash(e.Key, old.revision, old.value))
	}
	if e.Deleted {
		delete(s.entries, e.Key)
		delete(b.keys, e.Key)
		return
	}
	if b.keys == nil {
		b.keys = map[string]struct{}{}
	}
	b.keys[e.Key] = struct{}{}
	s.entries[e.Key] = entry{revision: e.Revision, value: e.Value}
	xorInto(&s.digest.Hash, entryHash(e.Key, e.Revision, e.Value))
}

// difference lists the changes from the current state to a snapshot, in order of key.
func (s *Store) difference(snap Snapshot) (changes []Event) {
	missing := make(map[string]struct{}, len(s.entries))
	for key := range s.entries {
		missing[key] = struct{}{}
	}
	for _, e := range snap.Entries {
		if e.Deleted {
			continue
		}
		delete(missing, e.Key)
		if old, ok := s.entries[e.Key]; ok && old.revision == e.Revision && string(old.value) == string(e.Value) {
			continue
		}
		changes = append(changes, e)
	}
	for _, key := range slices.Sorted(maps.Keys(missing)) {
		changes = append(changes, Event{Revision: snap.Revision, Key: key, Deleted: true})
	}
	return changes
}
