// Package pimhistory simulates callers, home VMs that run requests at most once and backend servers under faults, and
// checks the history of executions and replies.
package pimhistory
