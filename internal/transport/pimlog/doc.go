// Package pimlog writes log lines in JSON without blocking the caller, and limits the lines about single flows.
package pimlog
