// Package pimseal encrypts and authenticates the datagrams between VMs, so that only VMs with the cluster secret can
// write or read them, and protects against replays.
package pimseal
