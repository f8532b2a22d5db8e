// Package pimtrace sets up OpenTelemetry traces: a span per hop, and the W3C trace context between VMs.
package pimtrace
