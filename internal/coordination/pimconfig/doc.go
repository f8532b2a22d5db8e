// Package pimconfig holds the replicated configuration of a VM: it only moves forward and is spread between VMs.
package pimconfig
