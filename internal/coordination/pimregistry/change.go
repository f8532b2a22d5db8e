package pimregistry

import (
	"errors"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Change is one change of one published entry; at most one of Host and Config is set.
type Change struct {
	Revision, Created pimid.Revision
	// ID names the backend server of the entry; zero if the entry belongs to none.
	ID pimcatalog.HostID
	// Host is the new entry of a backend server.
	Host *pimcatalog.Host
	// Config is a new configuration.
	Config *pimcatalog.Config
	// Fault says why the entry could not be read.
	Fault error
	// Removed is set if the entry has disappeared.
	Removed bool
}

// Batch takes a registry from revision From to revision To.
type Batch struct {
	From, To pimid.Revision
	Changes  []Change
}

// Snapshot holds all entries; entries that are newer than Revision may be among them.
type Snapshot struct {
	Revision pimid.Revision
	Changes  []Change
}

// ErrGap means that changes before a delta are not known.
var ErrGap = errors.New("delta starts after the revision in force")

// ErrStale means that a batch or snapshot is older than what is believed already.
var ErrStale = errors.New("revision is older than the one in force")

// End is the revision up to which the batch tells all changes.
func (b Batch) End() pimid.Revision { return b.To }
