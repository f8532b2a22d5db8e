// Package pimsim is a discrete-event loop for simulations, with a manual clock and one seeded source of randomness.
package pimsim
