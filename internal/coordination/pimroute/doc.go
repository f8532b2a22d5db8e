// Package pimroute decides for each packet of a caller whether a VM forwards it to a backend server, executes it,
// relays it to another VM or replies to it.
//
// Routing an established flow needs no state of that flow, only the packet, its token and what the VM knows of the
// configuration and the fleet, so any VM can route any established flow. It does not allocate memory. Router is safe for
// concurrent use.
package pimroute
