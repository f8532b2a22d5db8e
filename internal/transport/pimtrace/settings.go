package pimtrace

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/trace"
)

// The values of Settings.Exporter.
const (
	// ExporterOff disables tracing; it is the default.
	ExporterOff = "off"
	// ExporterStdout writes each span as one JSON line to standard output.
	ExporterStdout = "stdout"
	// ExporterOTLP sends spans over HTTP to a collector.
	ExporterOTLP = "otlp"
)

// The errors of Settings.Validate.
var (
	// ErrExporter means that the exporter is not one of off, stdout and otlp.
	ErrExporter = errors.New("unknown trace exporter")
	// ErrEndpoint means that the otlp exporter has no endpoint, or that another exporter has one.
	ErrEndpoint = errors.New("trace endpoint and exporter do not match")
	// ErrSampleRatio means that the sample ratio is not between 0 and 1.
	ErrSampleRatio = errors.New("trace sample ratio is not between 0 and 1")
)

// Settings choose the exporter and the sampling.
type Settings struct {
	// Exporter is off, stdout or otlp; empty means off.
	Exporter string
	// Endpoint is the URL of the collector, such as http://127.0.0.1:4318/v1/traces; only for otlp.
	Endpoint string
	// SampleRatio is the fraction of the traces started by this VM that are recorded, from 0 to 1. For a trace started
	// by another VM, the decision of that VM applies.
	SampleRatio float64
	// Writer replaces standard output in tests; nil means standard output.
	Writer io.Writer
}

// Validate returns ErrExporter, ErrEndpoint or ErrSampleRatio.
func (s *Settings) Validate() error {
	switch s.Exporter {
	case "", ExporterOff, ExporterStdout, ExporterOTLP:
	default:
		return fmt.Errorf("%w %q", ErrExporter, s.Exporter)
	}
	if (s.Endpoint != "") != (s.Exporter == ExporterOTLP) {
		return ErrEndpoint
	}
	if !(s.SampleRatio >= 0 && s.SampleRatio <= 1) {
		return ErrSampleRatio
	}
	return nil
}

// exporter returns nil if tracing is off.
func (s *Settings) exporter(ctx context.Context) (trace.SpanExporter, error) {
	switch s.Exporter {
	case ExporterStdout:
		if s.Writer == nil {
			s.Writer = os.Stdout
		}
		return stdouttrace.New(stdouttrace.WithWriter(s.Writer))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
	default:
		return nil, nil
	}
}
