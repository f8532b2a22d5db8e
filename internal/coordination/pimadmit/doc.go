// Package pimadmit decides which new flows are admitted when backend servers are nearly full. It works on numbers only: the places
// that a VM may fill, the requests that it has under way, and the priority and the remaining time of a flow.
package pimadmit
