// Package pimsteer decides for each packet of an opaque flow whether to forward it to a backend server, to reset the
// flow or to drop the packet. An opaque flow is one whose content the VM cannot read; once its backend server has
// answered, its packets carry a tag that identifies the backend server.
package pimsteer
