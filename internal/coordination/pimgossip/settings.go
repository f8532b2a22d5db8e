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
	// Every is the time between beats and Fanout the number of VMs that hear each.
	Every  time.Duration
	Fanout int
	// HelloEvery is the time between greetings of the seeds while nobody is known, and GreetEvery afterwards.
	HelloEvery, GreetEvery time.Duration
	// AliveFor is how long a silent VM counts as running.
	AliveFor time.Duration
	// RememberFor is how long a silent VM is greeted now and then.
	RememberFor time.Duration
	// PullEvery is the time between two requests for the same changes.
	PullEvery time.Duration
	// TakeOver is the age of the view at which the second reader steps in; each further one waits for TakeOverStep
	// more, up to TakeOverRanks.
	TakeOver, TakeOverStep time.Duration
	TakeOverRanks          int
}

// DefaultSettings returns the times for changes that have to be in force within 3 s. A reader confirms its view every
// 1.5 s, and the last reader to step in does so before 2.7 s.
func DefaultSettings() Settings {
	return Settings{
		Every: 250 * time.Millisecond, Fanout: 3,
		HelloEvery: 500 * time.Millisecond, GreetEvery: 10 * time.Second,
		AliveFor: time.Second, RememberFor: time.Minute,
		PullEvery: 150 * time.Millisecond,
		TakeOver:  1900 * time.Millisecond, TakeOverStep: 200 * time.Millisecond, TakeOverRanks: 4,
	}
}
