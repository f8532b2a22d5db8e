// Package pimgossip keeps the VMs of a data centre up to date without shared state. It decides which VM reads the
// platform, which publishes the configuration and the list of backend servers, which VMs receive a heartbeat and which
// VM changes are pulled from. It also sums the backend loads that the other VMs report.
package pimgossip
