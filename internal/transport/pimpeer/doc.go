// Package pimpeer provides drpc calls over mutual TLS, and encrypted gossip datagrams, between VMs.
package pimpeer
