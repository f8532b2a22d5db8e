// Package pimudp owns the UDP sockets of the CoAP edge, one per service: it receives the datagrams of callers, replies
// from the socket that received them, and forwards flow packets to backend servers in IPv4-in-UDP encapsulation (Linux
// FOU).
package pimudp
