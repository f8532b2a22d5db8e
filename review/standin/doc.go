//go:build review

// Command review-standin plays the cases of the review that cannot be put as a day of the bench: it starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins for the platform, the backend servers and the callers.
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main
