// Package pimclock provides the time since boot, including suspensions of the machine, and a manual clock for tests.
package pimclock
