package pimconfig

import (
	"errors"
	"fmt"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The errors of applying configuration.
var (
	// ErrStale means that the revision of a batch or snapshot is not higher than that of the store.
	ErrStale = errors.New("revision is not higher than the current one")
	// ErrNotContiguous means that a batch does not start at the current revision.
	ErrNotContiguous = errors.New("batch does not start at the current revision")
	// ErrDisorder means that the events of a batch are not in order of revision, or not within its revisions.
	ErrDisorder = errors.New("events are not in order of revision")
	// ErrBadKey means that a key is not valid UTF-8.
	ErrBadKey = errors.New("key is not valid utf-8")
	// ErrBadChunk means that a snapshot chunk cannot be decoded, or that its hash has the wrong length.
	ErrBadChunk = errors.New("snapshot chunk is not valid")
	// ErrUnknownKey means that a key has no known prefix, or that its id is not in canonical decimal form.
	ErrUnknownKey = errors.New("key has no known prefix")
	// ErrIDMismatch means that the id in a value differs from the id in its key.
	ErrIDMismatch = errors.New("id in the value differs from the key")
	// ErrValueTooLarge means that a value exceeds MaxValue.
	ErrValueTooLarge = errors.New("value exceeds the size limit")
	// ErrBadSecret means that a token key does not hold 16 bytes.
	ErrBadSecret = errors.New("secret does not hold 16 bytes")
)

// RevisionError reports a refused batch or snapshot: Have is the revision of the store, From and To are those of the
// batch or snapshot.
type RevisionError struct {
	Have, From, To pimid.Revision
	Err            error
}

// Error names the revisions and the reason.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("have revision %d, got %d to %d: %v", e.Have, e.From, e.To, e.Err)
}

// Unwrap returns the reason, one of the sentinel errors.
func (e *RevisionError) Unwrap() error { return e.Err }

// ValueError reports a value that was not decoded; the previous value of the key stays in force.
type ValueError struct {
	Key      string
	Revision pimid.Revision
	Err      error
}

// Error names the key, its revision and the reason.
func (e *ValueError) Error() string {
	return fmt.Sprintf("value of %s at revision %d: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns the reason.
func (e *ValueError) Unwrap() error { return e.Err }
