// Package pimpeer carries drpc calls over mutual TLS and sealed gossip datagrams between VMs.
package pimpeer
