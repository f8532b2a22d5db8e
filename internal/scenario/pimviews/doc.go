// Package pimviews simulates how VMs learn of backend servers and configurations, and what happens to flows meanwhile. It runs the
// registry, the mesh and the steering of pimentry on a manual clock against a model of the platform's store and of the links.
package pimviews
