// Package pimops is the HTTP server of one VM for operators: metrics, status, and the explanation of how a described
// packet is routed.
package pimops
