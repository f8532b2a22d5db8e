// Package pimnode wires one VM together: it connects the transports to the decisions, runs the periodic work and stops
// the VM gracefully.
package pimnode
