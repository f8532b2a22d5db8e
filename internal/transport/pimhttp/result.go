package pimhttp

import (
	"errors"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// The errors in a Result.
var (
	// ErrDeadline means that the deadline passed before anything was written.
	ErrDeadline = errors.New("deadline passed before the request was sent")
	// ErrNoProgress means that the connection stalled while a new connection worked.
	ErrNoProgress = errors.New("connection makes no progress")
	// ErrIncomplete means that the body ended early or that its end cannot be verified.
	ErrIncomplete = errors.New("incomplete response body")
	// ErrMismatch means that the response may belong to another request.
	ErrMismatch = errors.New("response does not repeat the number of the request")
	// ErrTooLarge means that the response body exceeds the limit of one datagram.
	ErrTooLarge = errors.New("response body too large")
	// ErrPath means that the path does not start with a slash.
	ErrPath = errors.New("path without leading slash")
	// ErrShed means that the backend server shed the request (503 with Retry-After).
	ErrShed = errors.New("shed by the backend server")
	// ErrMisdirected means that the server at the address does not serve the service (421, RFC 9110, 15.5.20).
	ErrMisdirected = errors.New("server does not serve the requested service")
)

// Result is the outcome of one request.
type Result struct {
	// Outcome is answered, failed (status 5xx or response too large), not_run or unknown.
	Outcome pimedge.Outcome
	// Reason explains every outcome other than answered; it is empty for a 5xx response that counts as failed.
	Reason pimedge.Reason
	// Status and Body are those of a complete response.
	Status int
	Body   []byte
	// Shed reports a 503 with Retry-After; RetryAfter is the delay that it asks for.
	Shed       bool
	RetryAfter time.Duration
	// NotSent reports that no byte of the request was written.
	NotSent bool
	// NoProgress reports that the connection was closed because it stalled while a new connection worked.
	NoProgress bool
	// Duration is the time from the call to the result.
	Duration time.Duration
	// Err is the cause of an outcome other than answered; it is nil for a 5xx response that counts as failed.
	Err error
}
