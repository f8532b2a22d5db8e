// Package pimhttp is the HTTP client for backend servers. It sends a request at most once unless the request is
// idempotent, reports reliably whether any byte was written, and closes stalled connections.
package pimhttp
