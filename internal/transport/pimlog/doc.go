// Package pimlog writes JSON lines without ever blocking the caller, and bounds the lines about single flows.
package pimlog
