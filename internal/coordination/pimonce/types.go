package pimonce

import (
	"context"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// PermitLifetime is the lifetime of the permit of a token, counted from its issue; it exceeds the CoAP EXCHANGE_LIFETIME
// of 247 s. The permit is the right to run the requests of the token; it has nothing to do with the permits of a rate
// limit.
const PermitLifetime = 300 * time.Second

// HomeID identifies a home: a VM and the incarnation of its process, as tokens name them.
type HomeID struct {
	Node        pimid.NodeID
	Incarnation pimid.Incarnation
}

// Key identifies a request under the tokens of one flow.
type Key struct {
	Flow pimid.FlowID
	Tag  pimid.RequestTag
}

// Request describes one non-idempotent request by its token, tag and deadline.
type Request struct {
	Key
	// Home is the home that the token names.
	Home     HomeID
	Service  pimid.ServiceID
	Contract pimid.ContractID
	// IssuedAt is the issue time of the token in Unix seconds.
	IssuedAt uint32
	// Deadline is the caller's deadline on the clock of this VM.
	Deadline pimclock.Instant
}

// SendTracker records whether a request may have been sent to a backend server.
type SendTracker interface {
	// Commit marks the request as sent; after an error, the request must not be sent.
	Commit() error
	// Retract takes the mark back because the backend server said that it did not run the request.
	Retract()
}

// Exec executes a request; it calls Commit immediately before each send.
type Exec func(ctx context.Context, t SendTracker) pimedge.Reply

// Record is the reply to one request as it is handed over to a successor.
type Record struct {
	Key
	Reply pimedge.Reply
	// Keep is how much longer the record must be kept.
	Keep time.Duration
}

// Batch holds some of the records of one home; the successor may run new requests of that home after the last batch.
type Batch struct {
	Home    HomeID
	Records []Record
	Last    bool
}
