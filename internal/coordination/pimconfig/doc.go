// Package pimconfig holds the replicated configuration of a VM. Its revision never goes back. Some VMs read it from the
// platform; the others pull it from VMs with a higher revision.
package pimconfig
