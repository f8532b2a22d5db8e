package pimtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// spanLine is one span as the stdout exporter writes it.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

func decode(t *testing.T, text *bytes.Buffer) (spans []spanLine) {
	t.Helper()
	for d := json.NewDecoder(text); ; {
		var l spanLine
		if err := d.Decode(&l); errors.Is(err, io.EOF) {
			return spans
		} else if err != nil {
			t.Fatal(err)
		}
		spans = append(spans, l)
	}
}

// Guards against a trace that does not continue on the second VM, and against spans without the decision.
func TestTraceCrossesVMs(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	tracer, cleanup, err := New(t.Context(), Settings{Exporter: ExporterStdout, SampleRatio: 1, Writer: &text}, VM{Node: 4})
	is.NoErr(err)
	ctx, edge := tracer.Start(t.Context(), HopEdge)
	remote, relay := tracer.StartRemote(context.Background(), HopRelay, Traceparent(ctx))
	is.True(Traceparent(remote) != Traceparent(ctx))
	relay.Decide(Decision{Contract: 7, Share: 3, Rule: "home", Reason: "no_slot", Outcome: "not_run", Revision: 9})
	relay.End()
	edge.End()
	is.NoErr(cleanup(t.Context()))
	spans := decode(t, &text)
	is.Equal(len(spans), 2)
	is.Equal(spans[0].Name, string(HopRelay))
	is.Equal(spans[0].SpanContext.TraceID, spans[1].SpanContext.TraceID)
	is.Equal(spans[0].Parent.SpanID, spans[1].SpanContext.SpanID)
	got := map[string]any{}
	for _, a := range spans[0].Attributes {
		got[a.Key] = a.Value.Value
	}
	is.Equal(got, map[string]any{
		"contract": 7.0, "share": 3.0, "rule": "home", "reason": "no_slot", "outcome": "not_run", "revision": 9.0,
	})
}

// Guards against an invalid traceparent that prevents the start of a span, and against allocations while tracing is
// off.
func TestOffAndInvalidParent(t *testing.T) {
	is := is.New(t)
	off, cleanup, err := New(t.Context(), Settings{}, VM{})
	is.NoErr(err)
	is.Equal(testing.AllocsPerRun(100, func() {
		_, span := off.Start(context.Background(), HopEdge)
		span.Decide(Decision{})
		span.End()
	}), 0.0)
	is.NoErr(cleanup(t.Context()))
	on, cleanup, err := New(t.Context(), Settings{Exporter: ExporterStdout, SampleRatio: 1, Writer: io.Discard}, VM{})
	is.NoErr(err)
	ctx, span := on.StartRemote(context.Background(), HopRelay, "00-zz-1-01")
	is.True(Traceparent(ctx) != "")
	span.End()
	is.NoErr(cleanup(t.Context()))
}

// Guards against spans that never reach the collector.
func TestOTLP(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received.Add(n)
	}))
	defer collector.Close()
	settings := Settings{Exporter: ExporterOTLP, Endpoint: collector.URL + "/v1/traces", SampleRatio: 1}
	tracer, cleanup, err := New(t.Context(), settings, VM{})
	is.NoErr(err)
	_, span := tracer.Start(t.Context(), HopBackend)
	span.End()
	is.NoErr(cleanup(t.Context()))
	is.True(received.Load() > 0)
}

// Guards against a misspelt setting that silently turns tracing off.
func TestSettings(t *testing.T) {
	is := is.New(t)
	for want, s := range map[error]Settings{
		ErrExporter: {Exporter: "oltp"}, ErrEndpoint: {Exporter: ExporterOTLP},
		ErrSampleRatio: {Exporter: ExporterStdout, SampleRatio: 2},
	} {
		_, _, err := New(t.Context(), s, VM{})
		is.True(errors.Is(err, want))
	}
	is.Equal((&Settings{Endpoint: "http://127.0.0.1"}).Validate(), ErrEndpoint)
}
