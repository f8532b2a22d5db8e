// Package pimentry wires one VM that steers opaque flows: sockets, the follower of the platform and the decisions.
package pimentry
