// Package pimflows is a fleet of routers in one process, with callers, backend servers and a platform, that counts broken
// flows while VMs and backend servers are replaced. Time and randomness are simulated, so a seed decides every figure.
package pimflows
