package pimregistry

import (
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Change is one change of one published entry; at most one of Host, Config and Evacuation is set.
type Change struct {
	// Revision is that of the change, Created that at which the entry first appeared.
	Revision, Created pimid.Revision
	// ID is the backend server of the entry; zero if the entry belongs to none.
	ID pimcatalog.HostID
	// Name is the name of the entry, since entries of other writers may have the same ID; empty stands for that of the backend
	// server.
	Name string
	// Host is the new entry of a backend server.
	Host *pimcatalog.Host
	// Config is a new configuration.
	Config *pimcatalog.Config
	// Evacuation is the data centre whose evacuation the entry requests; a Fault does not make the request void.
	Evacuation pimid.DataCentre
	// Fault says why the entry could not be read.
	Fault error
	// Removed is set if the entry is no longer published.
	Removed bool
}

// Batch holds all changes after revision From, up to and including revision To.
type Batch struct {
	From, To pimid.Revision
	Changes  []Change
	// SentAt is when this VM sent the call, and AnsweredAt when it handled the header of the response, which may have waited in the
	// socket. Hold is the time for which the platform was to hold back a response without changes.
	SentAt, AnsweredAt pimclock.Instant
	Hold               time.Duration
}

// Snapshot holds all published entries at a revision; some of them may be newer than Revision.
type Snapshot struct {
	Revision pimid.Revision
	Changes  []Change
	// SentAt is when this VM sent the call for the first page.
	SentAt pimclock.Instant
}

// ErrGap means that changes between the revision in force and the start of a delta are missing.
var ErrGap = errors.New("delta starts after the revision in force")

// ErrStale means that a snapshot is older than the view, or that a batch ends before its own start.
var ErrStale = errors.New("revision is older than the one in force")

// End returns the revision up to which the batch holds all changes.
func (b Batch) End() pimid.Revision { return b.To }

// AsOf returns the latest instant at which the platform certainly had nothing newer than the batch. When the response arrived does not
// matter: this VM may have stood still since. A response without changes was held back for Hold after the call was sent, but one that
// was handled earlier was not, and one with changes may have been sent at once.
func (b Batch) AsOf() pimclock.Instant {
	held := b.Hold - b.Hold/clockDriftDivisor
	if b.To != b.From || b.AnsweredAt.Before(b.SentAt.Add(held)) {
		return b.SentAt
	}
	return b.SentAt.Add(held)
}

// AsOf returns the latest instant at which the platform certainly had nothing newer than the revision of the snapshot.
func (s Snapshot) AsOf() pimclock.Instant { return s.SentAt }
