// Package pimslot schedules the request slots of the backend servers that one VM owns: guaranteed shares first, then
// unowned and lent slots by priority.
package pimslot
