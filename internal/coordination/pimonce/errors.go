package pimonce

import "errors"

var (
	// ErrStopped means that the home no longer hands over requests.
	ErrStopped = errors.New("home stopped")
	// ErrPermitEnded means that the permit of the token has ended.
	ErrPermitEnded = errors.New("permit ended")
	// ErrNotStopped means that records cannot be exported while requests are accepted.
	ErrNotStopped = errors.New("home not stopped")
	// ErrOtherSuccessor means that the records have been given to another successor.
	ErrOtherSuccessor = errors.New("records given to another successor")
	// ErrOwnRecords means that a batch names this home as its origin.
	ErrOwnRecords = errors.New("batch names the importing home")
	// ErrRecordLimits means that the imported records exceed the memory limits.
	ErrRecordLimits = errors.New("record limits exceeded")
)
