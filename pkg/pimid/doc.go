// Package pimid holds the named types for identifiers and units that all other packages share.
package pimid
