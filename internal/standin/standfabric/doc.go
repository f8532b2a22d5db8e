// Package standfabric is a stand-in for the network fabric: it delivers each datagram of a caller to a random live VM
// and hands the answers of VMs and backend servers back to the caller.
package standfabric
