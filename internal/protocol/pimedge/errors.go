package pimedge

import (
	"errors"
	"fmt"
)

// The causes of a DecodeError.
var (
	// ErrMalformed means that the datagram is not a well-formed CoAP message.
	ErrMalformed = errors.New("malformed coap message")
	// ErrNotRequest means that the message is well formed but is not a request.
	ErrNotRequest = errors.New("not a coap request")
	// ErrMethod means that the method is not GET, PUT or POST.
	ErrMethod = errors.New("unsupported method")
	// ErrOption means that an option is critical and unknown, or has an invalid value.
	ErrOption = errors.New("invalid option")
	// ErrTooManyOptions means that the message has more options than a decoder accepts.
	ErrTooManyOptions = errors.New("too many options")
	// ErrTimeout means that timeout_ms is not a positive number of milliseconds or is given twice.
	ErrTimeout = errors.New("invalid timeout_ms")
)

// DecodeError reports why a datagram was rejected and whether it can be answered.
type DecodeError struct {
	// Cause is one of the sentinel errors of this package.
	Cause error
	// Detail is the error of the codec; nil if the codec accepted the datagram.
	Detail error
	// Exchange identifies the message; it is valid only if Answerable is set.
	Exchange Exchange
	// Answerable reports whether the datagram is a request that can be answered with 4.00.
	Answerable bool
}

// Error returns the cause and the error of the codec.
func (e *DecodeError) Error() string {
	if e.Detail == nil {
		return e.Cause.Error()
	}
	return fmt.Sprintf("%v: %v", e.Cause, e.Detail)
}

// Unwrap returns the cause and the error of the codec.
func (e *DecodeError) Unwrap() []error {
	if e.Detail == nil {
		return []error{e.Cause}
	}
	return []error{e.Cause, e.Detail}
}
