package pimconfig

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// Event is one change of one key.
type Event struct {
	Revision pimid.Revision
	Key      string
	Value    []byte
	Deleted  bool
}

// Batch is a part of the ordered log: it takes a store from revision From to revision To.
type Batch struct {
	From, To pimid.Revision
	Events   []Event
}

// Snapshot is the complete state at one revision.
type Snapshot struct {
	Revision pimid.Revision
	// Entries lists the keys in any order; Deleted entries are ignored.
	Entries []Event
}

// Digest identifies a state; two stores with equal digests hold the same keys and values.
type Digest struct {
	Revision pimid.Revision
	Hash     [HashSize]byte
}

// Counters count what the store refused; they only grow.
type Counters struct {
	Applied     uint64
	Restored    uint64
	Stale       uint64
	Gaps        uint64
	Disorder    uint64
	BadValues   uint64
	Divergences uint64
}

// End is the revision up to which the batch tells all changes.
func (b Batch) End() pimid.Revision { return b.To }
