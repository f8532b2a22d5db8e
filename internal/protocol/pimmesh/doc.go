// Package pimmesh defines the messages between the VMs that steer opaque flows, in CBOR.
package pimmesh
