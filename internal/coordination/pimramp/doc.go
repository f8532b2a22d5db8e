// Package pimramp bounds the opening packets that a backend server in slow start gets from all VMs together, without messages
// between them: each backend server is assigned to one VM of its data centre, and all others send it none.
package pimramp
