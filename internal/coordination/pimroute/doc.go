// Package pimroute decides for each packet of a caller what a VM does with it: forward, execute, relay or reply.
//
// The decision reads the packet, its token and the current view only, so any VM routes any established flow. An
// established flow costs no allocation. Router is safe for concurrent use.
package pimroute
