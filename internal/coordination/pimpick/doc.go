// Package pimpick chooses a backend server for a flow and a slot owner for a request from lagging observations.
package pimpick
