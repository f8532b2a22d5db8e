// Package pimsoak runs VMs as processes on loopback and injects faults from outside according to a seeded schedule.
// During a run it checks the invariants of the load balancer against what callers, backend servers and the status of
// the VMs show.
package pimsoak
