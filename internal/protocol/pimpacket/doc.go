// Package pimpacket defines what the steering of opaque flows reads of a packet; the codec belongs to the platform.
package pimpacket
