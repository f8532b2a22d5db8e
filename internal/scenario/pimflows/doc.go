// Package pimflows simulates a fleet of VMs with their routers, callers, backend servers and a platform, and counts the
// flows that break while VMs and backend servers are replaced. Time is simulated and all random numbers derive from the
// seed, so that the same seed gives the same report.
package pimflows
