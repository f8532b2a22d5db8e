// Package pimnode assembles one VM: it connects the transports to the coordination packages, which decide on routes,
// slots and quotas, runs the periodic work and stops the VM gracefully.
package pimnode
