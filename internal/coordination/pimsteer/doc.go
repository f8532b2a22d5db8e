// Package pimsteer decides for each packet of an opaque flow whether to forward it to a backend server, to reset the
// flow or to drop the packet. An opaque flow is one whose content the VM cannot read; its packets carry the tag of the
// backend server.
package pimsteer
