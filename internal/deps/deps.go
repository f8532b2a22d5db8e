//go:build pending

// Package deps keeps modules in go.mod until the packages that use them are merged.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dchest/siphash"
	_ "github.com/google/gopacket"
	_ "github.com/google/gopacket/layers"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/matryer/is"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/plgd-dev/go-coap/v3/message"
	_ "github.com/plgd-dev/go-coap/v3/udp/coder"
	_ "github.com/rs/zerolog"
	_ "github.com/samber/oops"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/crypto/chacha20poly1305"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
)
