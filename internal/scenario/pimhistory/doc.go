// Package pimhistory simulates callers, VMs with at-most-once homes and backend servers under faults, and checks the
// history of executions and replies.
package pimhistory
