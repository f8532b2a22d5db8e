// Package pimpick chooses a backend server for a new flow and a slot owner for a request, from observations that lag
// behind the actual load. A host is a backend server; a slot owner is the VM that grants its slots.
package pimpick
