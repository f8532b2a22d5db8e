// Package pimgossip decides how the VMs of a data centre keep each other current without shared state: who reads the
// platform, whom to tell, whom to ask, and what the others see of the backend servers.
package pimgossip
