package pimmember

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings describe this VM and the timing of the failure detector; zero durations and counts take the defaults.
type Settings struct {
	Self        pimid.NodeID
	Incarnation pimid.Incarnation
	DataCentre  pimid.DataCentre
	Address     netip.AddrPort
	// Seeds are peers that are contacted before the first published list arrives.
	Seeds []pimview.Node

	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	PushInterval     time.Duration
	DigestInterval   time.Duration
	IndirectProbes   int
	PushFanout       int
}

// The defaults of Settings. A probe timeout of 250 ms is 25 times the round trip between data centres 5 ms apart.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 250 * time.Millisecond
	DefaultSuspicionTimeout = 3 * time.Second
	DefaultPushInterval     = 200 * time.Millisecond
	DefaultDigestInterval   = 2 * time.Second
	DefaultIndirectProbes   = 3
	DefaultPushFanout       = 3
)

const (
	// Readers is the number of configuration readers of a data centre.
	Readers = 2
	// ReaderKey is the rendezvous key of the readers.
	ReaderKey = 0x7265_6164_6572_7300

	// unlistedGrace is how long a VM that is not listed yet may take part in gossip.
	unlistedGrace = 60 * time.Second
	// retention is how long an unlisted VM and the successor of a VM that left are kept: longer than the tokens of the
	// VM stay valid (300 s).
	retention = 600 * time.Second
	// maxUnlisted bounds the VMs that are known without being listed.
	maxUnlisted = 1024
	// maxDatagram keeps a sealed datagram below the usual MTU.
	maxDatagram = 1200
	// repeatedStates is the number of older abnormal states that each probe, answer and periodic digest repeats, so that
	// a VM that missed an update or joined later learns about them.
	repeatedStates = 3
	// silentDataCentre is how long nothing may arrive from another data centre before random VMs of it are contacted in
	// addition to its readers.
	silentDataCentre = 6 * time.Second
	// gossipRate (bytes per second) and gossipBurst (bytes) bound the updates that are sent. Probes without updates are
	// not included and need less than 1 KB/s, so that the sum stays below 5 KB/s.
	gossipRate  = 3_000
	gossipBurst = 32_000
)

func (s Settings) withDefaults() Settings {
	s.ProbeInterval = or(s.ProbeInterval, DefaultProbeInterval)
	s.ProbeTimeout = or(s.ProbeTimeout, DefaultProbeTimeout)
	s.SuspicionTimeout = or(s.SuspicionTimeout, DefaultSuspicionTimeout)
	s.PushInterval = or(s.PushInterval, DefaultPushInterval)
	s.DigestInterval = or(s.DigestInterval, DefaultDigestInterval)
	s.IndirectProbes = or(s.IndirectProbes, DefaultIndirectProbes)
	s.PushFanout = or(s.PushFanout, DefaultPushFanout)
	return s
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
