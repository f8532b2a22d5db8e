// Package pimudp owns the UDP sockets of the edge: it receives the datagrams of callers, answers them from the service
// socket and forwards flow packets to backend servers in IPv4-in-UDP encapsulation (Linux FOU).
package pimudp
