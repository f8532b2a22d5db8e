// Package pimmesh defines the messages that VMs exchange to keep their configuration, backend loads and view of each
// other up to date, and their CBOR encoding. These VMs forward opaque flows (pimsteer).
package pimmesh
