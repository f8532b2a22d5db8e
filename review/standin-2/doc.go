//go:build review

// Command standin-2 runs a small deployment of pimentry on loopback addresses with stand-ins for the metadata store, the backend servers
// and the requesters, plays one scenario with or without its disruption, and writes what was sent, answered and run to a record.
package main
