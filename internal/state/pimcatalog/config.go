package pimcatalog

import (
	"net/netip"
	"slices"
	"time"
)

// Kind says whether a request may run more than once.
type Kind uint8

// The kinds of requests that a route carries.
const (
	KindIdempotent Kind = iota
	KindNonIdempotent
	// KindDownload is idempotent with a large answer.
	KindDownload
)

// Priority orders requests; zero is the most urgent.
type Priority int

// Share gives a service a part of the new flows of a route, in proportion to its weight. It is encoded under its field
// names in messages between VMs.
type Share struct {
	Service Service
	Weight  int
}

// Route says which services receive the flows to one published address. It is encoded under its field names in messages
// between VMs.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one entry.
	Shares   []Share
	Kind     Kind
	Priority Priority
	// Timeout bounds one request and Target is the latency that callers expect.
	Timeout, Target time.Duration
}

// Equal reports whether all fields of two routes are equal.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.Kind == other.Kind && r.Priority == other.Priority &&
		r.Timeout == other.Timeout && r.Target == other.Target && slices.Equal(r.Shares, other.Shares)
}

// SlowStart is the limit of a service for its backend servers in slow start. It is encoded under its field names in messages between
// VMs.
type SlowStart struct {
	Service Service
	// Duration is the length of a slow start; zero if it is not published. The entry of a backend server states the rest.
	Duration time.Duration
	// PerSecond is the number of requests per second that a backend server can handle during its slow start.
	PerSecond float64
}

// Version numbers configurations; a later one has a higher version.
type Version uint64

// Config is one version of the published configuration.
type Config struct {
	Version Version
	Routes  []Route
	// Services are the names of all published services.
	Services []Service
	// IdleTimeout is how long a flow may go without packets.
	IdleTimeout time.Duration
	// SlowStart holds the limits of the services that have one.
	SlowStart []SlowStart
	// SlowStartUnknown is set if the configuration came from a VM of an earlier version, which leaves the limits out.
	SlowStartUnknown bool
}
