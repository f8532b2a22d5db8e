// Package pimbalance simulates how 8 VMs place long flows on 15 backend servers with delayed, wrong and missing load
// reports and with faulty backend servers.
package pimbalance
