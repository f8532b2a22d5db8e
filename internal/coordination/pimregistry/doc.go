// Package pimregistry decides what a VM believes of the published configuration and backend servers: it only moves
// forward, and it tells an entry that lapsed while the platform was away from a backend server that has ended.
package pimregistry
