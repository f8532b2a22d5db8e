// Package pimops is the operator's HTTP server of one VM: metrics, status and the explanation of one packet.
package pimops
