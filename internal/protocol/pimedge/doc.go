// Package pimedge maps the CoAP messages of callers to typed packets and typed replies to CoAP messages.
package pimedge
