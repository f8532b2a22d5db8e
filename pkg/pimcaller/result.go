package pimcaller

import "time"

// Outcome is what is known about a request.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the answer of the backend server is complete.
	Answered Outcome = "answered"
	// Failed means that the backend server answered with an error.
	Failed Outcome = "failed"
	// NotRun means that no backend server ran the request.
	NotRun Outcome = "not_run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// The reasons that this package adds to those of the VMs.
const (
	// ReasonDeadline means that the deadline passed, or the request was cancelled, before it was sent.
	ReasonDeadline = "deadline"
	// ReasonNoAnswer means that the deadline passed, or the request was cancelled, after it was sent.
	ReasonNoAnswer = "no_answer"
	// ReasonInvalid means that the request cannot be encoded.
	ReasonInvalid = "invalid"
	// ReasonMalformed means that the error body of a VM cannot be read, or that the code of the reply is no response code.
	ReasonMalformed = "malformed"
	// ReasonNoToken means that no token was obtained or that the VMs rejected each one.
	ReasonNoToken = "no_token"
)

// Result is what is known about one request at its end.
type Result struct {
	Outcome Outcome
	// Reason explains every outcome other than answered.
	Reason string
	// RetryAfter is the time after which a refused request may be retried; zero means no advice.
	RetryAfter time.Duration
	// Code is the CoAP code of the answer, class times 32 plus detail; zero without an answer.
	Code uint8
	Body []byte
	// Sent counts the datagrams that carried the request with a token.
	Sent int
}

// Stats are totals since the start of a caller.
type Stats struct {
	// Late counts messages that belong to no exchange or flow in progress, or found its queue full.
	Late uint64
	// Malformed counts datagrams that cannot be decoded as CoAP messages.
	Malformed uint64
	// Retransmitted counts messages that were sent again because no answer came in time, or because a VM offered a new
	// token while a flow was being opened.
	Retransmitted uint64
	// FlowsOpened counts opened flows.
	FlowsOpened uint64
	// FlowsBroken counts flows that ended other than by Close or the cleanup function of Dial.
	FlowsBroken uint64
}
