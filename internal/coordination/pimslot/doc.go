// Package pimslot schedules the request slots of the backend servers that one VM owns. A slot is the permission to run
// one request on one backend server.
//
// Each contract has a number of guaranteed slots, which are served first. The other slots form a pool: unowned slots,
// which are guaranteed to nobody, and lent slots, which are guaranteed to a contract that does not use them now. The pool
// is served by priority, and within a priority by share weight. Since a VM owns only part of the backend servers of a
// service, it scales all slot counts of a contract by the fraction of the slots that it owns, so they are fractional.
package pimslot
