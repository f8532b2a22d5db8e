// Package pimfleet simulates a fleet of VMs that run the coordination layer, on a simulated network and clock.
package pimfleet
