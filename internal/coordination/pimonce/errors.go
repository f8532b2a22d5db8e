package pimonce

import "errors"

var (
	// ErrStopped means that the home has stopped or, from Commit, that the reply of the request is already final.
	ErrStopped = errors.New("home stopped")
	// ErrPermitEnded means that the permit of the token has ended, so the request must not be sent.
	ErrPermitEnded = errors.New("permit ended")
	// ErrNotStopped means that records cannot be exported while the home accepts requests.
	ErrNotStopped = errors.New("home not stopped")
	// ErrOtherSuccessor means that the records have been exported to another successor.
	ErrOtherSuccessor = errors.New("records exported to another successor")
	// ErrOwnRecords means that the imported batch holds records of the importing home itself.
	ErrOwnRecords = errors.New("batch names the importing home")
	// ErrRecordLimits means that the imported records exceed the memory limits.
	ErrRecordLimits = errors.New("record limits exceeded")
)
