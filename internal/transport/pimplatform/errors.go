package pimplatform

import (
	"errors"
	"fmt"
)

// The errors of the client.
var (
	// ErrTooLarge means that a response exceeds the size limit.
	ErrTooLarge = errors.New("response exceeds the size limit")
	// ErrMalformed means that a response is not one JSON value of the expected format.
	ErrMalformed = errors.New("response is not valid JSON of the expected format")
	// ErrUnreachable means that no response arrived.
	ErrUnreachable = errors.New("platform is unreachable")
	// ErrAddress means that the base address is not an http or https URL with a host.
	ErrAddress = errors.New("address is not an http or https URL with a host")
)

// StatusError is an HTTP status other than 200 (OK) and 410 (ErrCompacted).
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}
