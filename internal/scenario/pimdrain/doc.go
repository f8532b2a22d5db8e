// Package pimdrain simulates how all VMs of a data centre learn that a backend server drains while the platform is
// down.
package pimdrain
