// Package pimentry runs one VM that steers opaque flows. It connects the packet socket, the messages between the VMs, the
// follower that reads the platform and the operator server to the decisions of pimsteer. An opaque flow is one whose
// content the VM cannot read.
package pimentry
