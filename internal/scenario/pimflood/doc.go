// Package pimflood simulates floods of requests for one service, the order desk of the reference workload: 15 backend
// servers with 2 slots each in 3 data centres behind 8 VMs.
package pimflood
