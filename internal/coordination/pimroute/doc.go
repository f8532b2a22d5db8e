// Package pimroute decides for each packet of a caller whether a VM forwards it to a backend server, executes it,
// relays it to another VM or replies to it.
//
// For an established flow, the decision depends only on the packet, its token and the current view, so any VM can route
// any established flow, and it does not allocate memory. Router is safe for concurrent use.
package pimroute
