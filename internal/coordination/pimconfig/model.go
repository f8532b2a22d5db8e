package pimconfig

import (
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Event is one change of one key.
type Event struct {
	Revision pimid.Revision
	Key      string
	Value    []byte
	Deleted  bool
}

// Batch holds all events after revision From, up to and including revision To, in order of revision.
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

// Counters count what the store applied and refused; they only grow.
type Counters struct {
	// Applied and Restored count batches and snapshots.
	Applied  uint64
	Restored uint64
	// Stale counts batches and snapshots without a higher revision, Gaps batches that do not start at the current one.
	Stale uint64
	Gaps  uint64
	// Disorder counts batches and snapshots with events out of order or keys that are not valid UTF-8.
	Disorder uint64
	// BadValues counts values that could not be decoded.
	BadValues uint64
	// Divergences counts digests of peers with the same revision and another hash.
	Divergences uint64
}

// End returns the revision up to which the batch holds all changes.
func (b Batch) End() pimid.Revision { return b.To }

// AsOf returns 0: the age of a batch is not used.
func (b Batch) AsOf() pimclock.Instant { return 0 }

// AsOf returns 0: the age of a snapshot is not used.
func (s Snapshot) AsOf() pimclock.Instant { return 0 }
