package pimgossip

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings describe this VM and the intervals of its messages.
type Settings struct {
	Name       string
	DataCentre pimid.DataCentre
	Address    netip.AddrPort
	// Seeds are the addresses of VMs that may know others.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the time between heartbeats, Fanout the number of VMs that receive one each time.
	HeartbeatInterval time.Duration
	Fanout            int
	// IsolatedHelloInterval is the time between hellos while no other VM is running, HelloInterval otherwise.
	IsolatedHelloInterval, HelloInterval time.Duration
	// PeerTimeout is how long a silent VM counts as running in a small data centre; see Mesh.peerTimeout.
	PeerTimeout time.Duration
	// RemoveAfter is how long after that a silent VM still gets hellos before it is removed.
	RemoveAfter time.Duration
	// PullTimeout is how long to wait for pulled changes; without an answer it doubles up to MaxPullTimeout.
	PullTimeout, MaxPullTimeout time.Duration
	// WatchTimeout is how long the reader lets the platform hold a watch.
	WatchTimeout time.Duration
	// TakeoverAge is the age of the view at which a VM takes over as the reader. The take-overs of the VMs of a data
	// centre are spread over TakeoverSpread.
	TakeoverAge, TakeoverSpread time.Duration
	// RetryingVMs is the number of VMs up to which each one retries a failed read of the platform at the full rate.
	RetryingVMs float64
	// ClaimTTL is how long the claim of a reader counts.
	ClaimTTL time.Duration
	// LoadTTL is how long reported backend loads count.
	LoadTTL time.Duration
	// SummaryInterval is the time between two summaries for another data centre, which two VMs send; SummaryTTL is how long one
	// counts. Several may be lost before it ends, but a cut between data centres must show within seconds.
	SummaryInterval, SummaryTTL time.Duration
}

// DefaultSettings returns settings for changes that have to be in force within the given time. They leave time for the
// reader to confirm its view, which it does when the platform answers its watch, for the confirmation to reach the VMs
// of a large data centre, which takes about 1 s, and for the VM that takes over last to read the platform.
func DefaultSettings(inForceWithin time.Duration) Settings {
	return Settings{
		HeartbeatInterval: 250 * time.Millisecond, Fanout: 3,
		IsolatedHelloInterval: 500 * time.Millisecond, HelloInterval: 10 * time.Second,
		PeerTimeout: 5 * time.Second, RemoveAfter: time.Minute,
		PullTimeout: 150 * time.Millisecond,
		// The full state of 3,000 backend servers is about 400 KB, which take 0.3 s on a link of 10 Mbit/s.
		MaxPullTimeout: 1200 * time.Millisecond,
		WatchTimeout:   inForceWithin * 2 / 5,
		TakeoverAge:    inForceWithin * 2 / 3, TakeoverSpread: inForceWithin / 5,
		RetryingVMs: 4, ClaimTTL: 1500 * time.Millisecond, LoadTTL: 1500 * time.Millisecond,
		SummaryInterval: 2 * time.Second, SummaryTTL: 8 * time.Second,
	}
}
