// Package pimview holds the immutable picture of the system at one revision that all decisions read.
package pimview
