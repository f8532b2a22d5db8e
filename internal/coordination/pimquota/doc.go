// Package pimquota enforces the hard limits of contracts with pooled shares: every VM owns a share, lends it to the
// pool owner of the contract under a lease and borrows on demand.
package pimquota
