package pimconfig

import (
	"maps"
	"slices"
	"unicode/utf8"
)

// stagedChange holds the buckets and the hash of the next state, so that an error leaves the current state unchanged.
type stagedChange struct {
	buckets map[int]bucket
	hash    [HashSize]byte
}

// prepare applies changes to copies of the buckets that they affect.
func (s *Store) prepare(changes []Event) (p stagedChange, err error) {
	p = stagedChange{buckets: map[int]bucket{}, hash: s.digest.Hash}
	for at, events := range byBucket(changes) {
		entries, err := s.buckets[at].entries()
		if err != nil {
			return p, err
		}
		for _, e := range events {
			if old, ok := entries[e.Key]; ok {
				xorInto(&p.hash, entryHash(old))
			}
			delete(entries, e.Key)
			if !e.Deleted {
				entries[e.Key] = e
				xorInto(&p.hash, entryHash(e))
			}
		}
		if p.buckets[at], err = s.packer.pack(entries); err != nil {
			return p, err
		}
	}
	return p, nil
}

// commit puts a staged change in force.
func (s *Store) commit(p stagedChange) {
	for at, b := range p.buckets {
		s.buckets[at] = b
	}
	s.digest.Hash = p.hash
}

// difference lists the changes from the current state to a snapshot.
func (s *Store) difference(snap Snapshot) (changes []Event, err error) {
	groups := byBucket(snap.Entries)
	for at := range s.buckets {
		old, err := s.buckets[at].entries()
		if err != nil {
			return nil, err
		}
		for _, e := range groups[at] {
			if e.Deleted {
				continue
			}
			if have, ok := old[e.Key]; !ok || have.Revision != e.Revision || string(have.Value) != string(e.Value) {
				changes = append(changes, e)
			}
			delete(old, e.Key)
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			changes = append(changes, Event{Revision: snap.Revision, Key: key, Deleted: true})
		}
	}
	return changes, nil
}

// Snapshot returns the complete state, in no particular order.
func (s *Store) Snapshot() (snap Snapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap.Revision = s.digest.Revision
	for at := range s.buckets {
		entries, err := s.buckets[at].entries()
		if err != nil {
			return snap, err
		}
		snap.Entries = slices.AppendSeq(snap.Entries, maps.Values(entries))
	}
	return snap, nil
}

// byBucket groups events by bucket and keeps their order.
func byBucket(events []Event) map[int][]Event {
	groups := map[int][]Event{}
	for _, e := range events {
		at := bucketOf(e.Key)
		groups[at] = append(groups[at], e)
	}
	return groups
}

// validKeys reports whether all keys are valid UTF-8, which protobuf requires of a string.
func validKeys(events []Event) bool {
	return !slices.ContainsFunc(events, func(e Event) bool { return !utf8.ValidString(e.Key) })
}
