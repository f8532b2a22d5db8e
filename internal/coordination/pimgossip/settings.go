package pimgossip

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings say who this VM is and how often it speaks.
type Settings struct {
	Name       string
	DataCentre pimid.DataCentre
	Address    netip.AddrPort
	// Seeds are the addresses of VMs that may know others.
	Seeds []netip.AddrPort
	// HeartbeatInterval is the time between beats and Fanout the number of VMs that hear each.
	HeartbeatInterval time.Duration
	Fanout            int
	// HelloEvery is the time between greetings of the seeds while nobody is known, and GreetEvery afterwards.
	IsolatedHelloInterval, HelloInterval time.Duration
	// AliveFor is how long a silent VM counts as running in a small data centre; see Mesh.aliveFor.
	PeerTimeout time.Duration
	// RememberFor is how long after that a silent VM is greeted now and then.
	ForgetAfter time.Duration
	// PullEvery is the wait for changes that were asked for; without an answer it doubles up to PullAtMost.
	PullTimeout, MaxPullTimeout time.Duration
	// WatchFor is how long the reader lets the platform hold a watch.
	WatchTimeout time.Duration
	// TakeOver is the age of the view at which a VM steps in for the reader; the VMs of a data centre do so spread over
	// TakeOverSpread.
	TakeoverAge, TakeoverSpread time.Duration
	// ClaimFor is how long the news that a VM reads counts.
	ClaimTTL time.Duration
	// LoadFor is how long what a VM has told of the backend servers counts.
	LoadTTL time.Duration
}

// DefaultSettings returns the times for changes that have to be in force within the given time. A reader confirms its
// view when the platform answers its watch; the news needs about a second to reach the VMs of a large data centre; and
// the last VM to step in has time left to read.
func DefaultSettings(inForceWithin time.Duration) Settings {
	return Settings{
		HeartbeatInterval: 250 * time.Millisecond, Fanout: 3,
		IsolatedHelloInterval: 500 * time.Millisecond, HelloInterval: 10 * time.Second,
		PeerTimeout: 5 * time.Second, ForgetAfter: time.Minute,
		PullTimeout: 150 * time.Millisecond,
		// Everything about 3,000 backend servers is about 400 KB, which take 0.3 s on a link of 10 Mbit/s.
		MaxPullTimeout: 1200 * time.Millisecond,
		WatchTimeout:   inForceWithin * 2 / 5,
		TakeoverAge:    inForceWithin * 2 / 3, TakeoverSpread: inForceWithin / 5,
		ClaimTTL: 1500 * time.Millisecond, LoadTTL: 1500 * time.Millisecond,
	}
}
