// Package pimpacket defines the packet fields that are needed to forward opaque flows, independent of their encoding.
// The package platform implements the codec.
package pimpacket
