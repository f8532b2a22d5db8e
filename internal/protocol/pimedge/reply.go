package pimedge

import (
	"net/http"
	"time"
)

// Outcome tells a caller what happened to its request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that the backend server answered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the backend server answered with an error, or with a body above MaxBody.
	OutcomeFailed Outcome = "failed"
)

// Reason says why a caller gets no answer of a backend server.
type Reason string

// The reasons of refusals, unknown outcomes and failures.
const (
	ReasonNone        Reason = ""
	ReasonNoToken     Reason = "no_token"
	ReasonRateLimit   Reason = "rate_limit"
	ReasonNoSlot      Reason = "no_slot"
	ReasonFlowLimit   Reason = "flow_limit"
	ReasonBackendGone Reason = "backend_gone"
	ReasonViewBehind  Reason = "view_behind"
	ReasonDraining    Reason = "draining"
	ReasonBadToken    Reason = "bad_token"
	ReasonNoContract  Reason = "no_contract"
	ReasonDeadline    Reason = "deadline"
	ReasonOverload    Reason = "overload"
	ReasonExpired     Reason = "permit_expired"
	ReasonHomeLost    Reason = "home_lost"
	ReasonNoAnswer    Reason = "no_answer"
	ReasonTooLarge    Reason = "too_large"
	ReasonBadInput    Reason = "bad_input"
)

// StatusNotModified is the status of an answer that carries only a new token; it is sent as 2.03.
const StatusNotModified = http.StatusNotModified

// Reply is a VM's reply to a caller.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which a refused caller may try again; zero means no advice.
	RetryAfter time.Duration
	// Status is the HTTP status of the backend server; zero if none answered.
	Status int
	Body   []byte
	// Token is a new sealed token for later packets; empty if the caller keeps its own.
	Token []byte
}
