// Package pimregistry holds the view that a VM has of the published configuration and backend servers. The view never
// goes back to an older revision. The registry distinguishes entries whose lease lapsed during an outage of the
// platform from backend servers that have ended. It keeps each entry under its name; which entries name backend servers is derived
// from all of them and from the configuration in force whenever either changes.
package pimregistry
