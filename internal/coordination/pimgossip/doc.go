// Package pimgossip keeps the VMs of a data centre up to date without shared state. It decides which VM reads the
// platform, which VMs receive a heartbeat and which VM configuration changes are pulled from, and it sums the backend
// loads that the other VMs report.
package pimgossip
