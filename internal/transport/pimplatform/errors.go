package pimplatform

import (
	"errors"
	"fmt"
)

// The errors of the client.
var (
	// ErrTooLarge means that a response exceeds the size limit.
	ErrTooLarge = errors.New("response exceeds the size limit")
	// ErrMalformed means that a response is not the expected JSON.
	ErrMalformed = errors.New("response is not valid")
	// ErrUnreachable means that no response arrived.
	ErrUnreachable = errors.New("platform is unreachable")
	// ErrAddress means that the base address is no http or https URL.
	ErrAddress = errors.New("address is no http url")
)

// StatusError is an HTTP status other than 200 and 410.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}
