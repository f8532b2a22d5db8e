// Package pimcatalog holds the immutable picture of the published routes and backend servers that the steering of
// opaque flows reads.
package pimcatalog
