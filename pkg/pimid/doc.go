// Package pimid defines the types for identifiers and units that the other packages share.
package pimid
