// Package pimtrace sets up OpenTelemetry tracing: one span per hop of a packet, linked across VMs by the W3C trace
// context.
package pimtrace
