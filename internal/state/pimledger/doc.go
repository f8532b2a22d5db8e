// Package pimledger accounts for the work of each contract with identities that hold at every moment.
package pimledger
