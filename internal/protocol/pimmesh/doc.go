// Package pimmesh defines the messages that VMs exchange to keep their configuration, backend loads and view of each
// other up to date, and their CBOR encoding. Only VMs that forward opaque flows (pimsteer) use it; the others use pimpb.
package pimmesh
