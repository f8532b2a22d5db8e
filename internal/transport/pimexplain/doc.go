// Package pimexplain parses the query of the operator endpoint /explain, which describes one packet of the CoAP edge,
// and registers the metrics of the routing rules.
package pimexplain
