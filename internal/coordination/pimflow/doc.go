// Package pimflow observes the load and the health of backend servers. A VM forwards only the packets from callers to
// backend servers, never the answers (direct server return), and does not see the content of a flow; the table infers
// from the sequence and acknowledgement numbers of callers whether a backend server answers. The table is soft state:
// losing it breaks no flow.
package pimflow
