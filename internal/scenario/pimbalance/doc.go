// Package pimbalance simulates the placement of long flows on 15 hosts by 8 VMs with lagging, wrong and absent load
// reports and faulty hosts.
package pimbalance
