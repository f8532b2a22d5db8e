// Package pimmember detects failed VMs, spreads member and backend states and assigns ownership by rendezvous hashing.
package pimmember
