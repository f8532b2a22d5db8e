// Package pimonce runs each non-idempotent request at most once.
//
// The token of a request names its home: the one VM, in one incarnation of its process, that may run the request. The
// home records each request under its flow and tag until the token no longer permits it (see PermitLifetime), and answers
// duplicates from the record. A home that stops hands its records over to a successor, which then may run the requests of
// that home.
package pimonce
