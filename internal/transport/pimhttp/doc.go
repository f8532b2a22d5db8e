// Package pimhttp is the HTTP leg to backend servers. It sends a request at most once unless the request is idempotent,
// proves whether anything was written, and closes connections that make no progress.
package pimhttp
