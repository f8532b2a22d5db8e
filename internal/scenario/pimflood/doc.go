// Package pimflood simulates floods of requests for one service, modelled on order_desk in section 1.2 of
// docs/design.md: 15 backend servers with 2 slots each in 3 data centres behind 8 VMs.
package pimflood
