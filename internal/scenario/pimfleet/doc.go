// Package pimfleet runs many VMs of the coordination layer in one process on a simulated network and clock.
package pimfleet
