// Package pimseal seals the datagrams between VMs, so that only VMs with the cluster secret can write or read them and
// none is accepted twice.
package pimseal
