// Package standfabric is a stand-in for the network fabric: it delivers each datagram of a caller to a random live VM
// and returns the answers of VMs and backend servers to the caller.
package standfabric
