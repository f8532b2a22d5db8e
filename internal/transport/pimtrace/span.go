package pimtrace

import (
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Hop is a step on the path of a packet through the fleet; it is the name of a span.
type Hop string

// The hops of a packet.
const (
	// HopEdge is the VM that received the packet from the caller.
	HopEdge Hop = "edge"
	// HopRelay is the VM that received the packet from another VM.
	HopRelay Hop = "relay"
	// HopSlot is the slot owner that was asked for a slot.
	HopSlot Hop = "slot"
	// HopBackend is the exchange with the backend server.
	HopBackend Hop = "backend"
)

func (h Hop) kind() trace.SpanKind {
	if h == HopBackend {
		return trace.SpanKindClient
	}
	return trace.SpanKindServer
}

// Decision is what a hop decided about a packet.
type Decision struct {
	Contract pimid.ContractID
	// Share is the number of guaranteed slots of the contract.
	Share pimid.Slots
	// Rule is the name of the routing rule.
	Rule    string
	Reason  pimedge.Reason
	Outcome pimedge.Outcome
	// Revision is the revision of the view on which the hop decided.
	Revision pimid.Revision
}

// Span is the span of one hop; the zero Span records nothing.
type Span struct {
	span trace.Span
}

// Decide records the decision of the hop as attributes.
func (s Span) Decide(d Decision) {
	if s.span == nil || !s.span.IsRecording() {
		return
	}
	s.span.SetAttributes(
		attribute.Int("contract", int(d.Contract)),
		attribute.Int("share", int(d.Share)),
		attribute.String("rule", d.Rule),
		attribute.String("reason", string(d.Reason)),
		attribute.String("outcome", string(d.Outcome)),
		attribute.Int64("revision", int64(d.Revision)),
	)
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}
