// Package pimgossip keeps the VMs of a data centre up to date without shared state. The platform publishes the
// configuration and the list of backend servers; the package decides which VM reads them there, which VMs receive a
// heartbeat and which VM changes are pulled from. It also sums the backend loads that the other VMs report.
package pimgossip
