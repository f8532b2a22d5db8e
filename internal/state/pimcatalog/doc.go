// Package pimcatalog holds immutable snapshots of the published routes and backend servers, from which VMs steer opaque
// flows: those whose content they cannot read.
package pimcatalog
