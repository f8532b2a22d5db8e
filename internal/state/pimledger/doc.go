// Package pimledger counts the requests and flow openings of each contract. The counters of a contract are balanced at any
// time: offered is admitted plus refused, and admitted is answered plus failed plus unknown plus in flight.
package pimledger
