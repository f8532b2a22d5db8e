package pimhttp

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// tracerName names the instrumentation of this package.
const tracerName = "github.com/pimentoyard/pimentoyard/internal/transport/pimhttp"

// startSpan starts the span of a request to a backend server.
func startSpan(ctx context.Context, b pimview.Backend) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, "backend request",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int64("pim.backend", int64(b.ID))))
}

func endSpan(span trace.Span, res *Result) {
	span.SetAttributes(
		attribute.String("pim.outcome", string(res.Outcome)),
		attribute.Bool("pim.not_sent", res.NotSent),
		attribute.Bool("pim.no_progress", res.NoProgress),
	)
	span.End()
}
