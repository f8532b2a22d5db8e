// Package pimmember detects failed VMs, gossips the states of VMs and backend servers, and assigns keys, such as those
// of backend servers and services, to the VMs that own them by rendezvous hashing.
package pimmember
