// Package pimexplain reads the question that operators ask about one packet of the CoAP edge and registers the metrics
// of its rules.
package pimexplain
