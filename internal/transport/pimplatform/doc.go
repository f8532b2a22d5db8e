// Package pimplatform reads configuration and the list of VMs from the platform over HTTP and JSON.
package pimplatform
