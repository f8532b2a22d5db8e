// Package pimadmission simulates how three VMs admit the flows of two priorities to five backend servers before, during and after a burst,
// with callers that try again.
package pimadmission
