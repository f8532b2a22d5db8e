// Package pimsim runs simulated time: events in order on a manual clock with one seeded source of randomness.
package pimsim
