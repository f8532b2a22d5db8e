//go:build review

// Command standin-3 plays the scripts of review/11 and later: it starts VMs (pimentry) as separate processes, and is the
// store, the backend servers, the fabric and the callers around them, on loopback addresses.
package main
