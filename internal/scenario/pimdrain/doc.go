// Package pimdrain simulates how the drain of a host becomes known to all VMs of a data centre while the platform is
// down.
package pimdrain
