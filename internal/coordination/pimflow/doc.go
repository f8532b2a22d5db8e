// Package pimflow learns from one direction of opaque flows what their backend servers do: the table is soft state
// whose loss breaks no flow.
package pimflow
