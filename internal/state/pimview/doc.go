// Package pimview holds immutable snapshots of the published configuration at one revision, from which VMs decide about
// requests and flows.
package pimview
