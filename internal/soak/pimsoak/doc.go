// Package pimsoak runs the real programs as processes on loopback, injects faults from outside them by a seeded schedule
// and checks the promises of the product while it runs, from what callers and backend servers see.
package pimsoak
