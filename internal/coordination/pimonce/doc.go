// Package pimonce runs each non-idempotent request at most once: records, duplicates, execution order and the handover
// to a successor.
package pimonce
