// Package pimclock gives the time since boot, including pauses, and a manual clock for tests.
package pimclock
