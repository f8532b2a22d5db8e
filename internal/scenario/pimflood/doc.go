// Package pimflood simulates floods at an order desk: 15 hosts with 2 slots in 3 data centres behind 8 VMs.
package pimflood
