// Package standbackend is a stand-in for a backend server: it serves requests over HTTP with a fixed number of slots,
// answers encapsulated flow packets directly to the caller and records what it ran.
package standbackend
