package pimtrace

import (
	"context"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// instrumentation is the instrumentation scope of the spans.
const instrumentation = "github.com/pimentoyard/pimentoyard"

// Tracer starts the spans of one VM; a nil Tracer starts none.
type Tracer struct {
	tracer trace.Tracer
}

// VM identifies a VM in the resource of its spans.
type VM struct {
	Node        pimid.NodeID
	Incarnation pimid.Incarnation
	DataCentre  pimid.DataCentre
}

// New returns the tracer for the settings; it is nil if tracing is off. The cleanup function exports the remaining
// spans and stops the tracer; it gives up when its context ends.
func New(ctx context.Context, s Settings, vm VM) (t *Tracer, cleanup func(context.Context) error, err error) {
	defer func() { err = oops.In("pimtrace").With("exporter", s.Exporter).Wrapf(err, "set up traces") }()

	if err = s.Validate(); err != nil {
		return nil, nil, err
	}
	exporter, err := s.exporter(ctx)
	if err != nil {
		return nil, nil, err
	}
	if exporter == nil {
		return nil, func(context.Context) error { return nil }, nil
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))),
		sdk.WithResource(vm.resource()),
	)
	return &Tracer{tracer: provider.Tracer(instrumentation)}, provider.Shutdown, nil
}

func (vm VM) resource() *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "pimentoyard"),
		attribute.Int("node", int(vm.Node)),
		attribute.String("incarnation", vm.Incarnation.String()),
		attribute.String("data_centre", string(vm.DataCentre)),
	)
}

// Start starts the span of one hop as a child of the span in ctx; the caller must end it.
func (t *Tracer) Start(ctx context.Context, hop Hop) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(hop.kind()))
	return ctx, Span{span: span}
}

// StartRemote starts the span of one hop as a child of the span of another VM; traceparent is in W3C format. With an
// empty or invalid traceparent, the parent is the span in ctx; without one, the span starts a new trace.
func (t *Tracer) StartRemote(ctx context.Context, hop Hop, traceparent string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	return t.Start(propagation.TraceContext{}.Extract(ctx, carrier), hop)
}

// traceparentKey is the header name that W3C Trace Context defines.
const traceparentKey = "traceparent"

// Traceparent returns the reference to the span in ctx in W3C format, for a message to another VM; it is empty if there
// is no span.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}
