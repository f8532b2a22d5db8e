package pimroute

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// Placer chooses backend servers for new flows; implementations must be safe for concurrent use.
type Placer interface {
	// Place returns a backend server for a new flow of the service; ok is false if none accepts one. The router
	// takes the generation and the addresses from its own view.
	Place(now pimclock.Instant, service pimid.ServiceID) (backend pimid.BackendID, ok bool)
}

// Admitter enforces the flow limits of the contracts; implementations must be safe for concurrent use.
type Admitter interface {
	// AdmitFlow reports whether a new flow is admitted, and counts it if so; otherwise retryAfter is the time until the
	// caller may try again.
	AdmitFlow(now pimclock.Instant, contract pimid.ContractID) (ok bool, retryAfter time.Duration)
	// RefreshFlow counts a refresh of an open flow; a refresh is never refused.
	RefreshFlow(now pimclock.Instant, contract pimid.ContractID)
}

// HomeStatus is the status of one incarnation of a VM as known to this VM.
type HomeStatus uint8

// The statuses of a home VM.
const (
	// HomeLost means that the VM is dead, unknown or in another incarnation.
	HomeLost HomeStatus = iota
	// HomeLive means that the VM is live in that incarnation.
	HomeLive
	// HomeLeft means that the VM has ended with a planned stop, or may have; its POST requests go to the successor.
	HomeLeft
)

// Home is one incarnation of a VM. The home in a token is the only one that may run the POST requests of that token,
// unless it has named a successor.
type Home struct {
	Node        pimid.NodeID
	Incarnation pimid.Incarnation
}

// Members is the part of the fleet membership that routing needs; implementations must be safe for concurrent use.
type Members interface {
	// HomeStatus returns the status of one incarnation of a VM; successor is set for HomeLeft only.
	HomeStatus(home Home) (status HomeStatus, successor Home)
	// NewerPeer returns a random live peer that has announced a revision above the given one; ok is false if there is
	// none.
	NewerPeer(revision pimid.Revision) (node pimid.NodeID, ok bool)
}

// Hosts reports backend servers that this VM knows to have ended although its view still contains them; implementations
// must be safe for concurrent use.
type Hosts interface {
	// Gone reports whether this generation of the backend server has certainly ended. A suspected failure is not
	// enough, since it would break flows that are still served.
	Gone(backend pimid.BackendID, generation pimid.Generation) bool
}

// Config holds the dependencies of a Router.
type Config struct {
	// Self is this incarnation of this VM; tokens are issued with it as home.
	Self Home
	// Keys are the keys from the settings. They are used in addition to the keys of the view; a key of the view
	// replaces one with the same id.
	Keys []pimtoken.Key
	// Rand chooses the first flow id.
	Rand     *rand.Rand
	Placer   Placer
	Admitter Admitter
	Members  Members
	// Hosts may be nil; then only the view determines which backend servers have ended.
	Hosts Hosts
}

// mergeKeys returns the keys of the view and those of the settings whose id the view does not use.
func mergeKeys(settings []pimtoken.Key, v *pimview.View) []pimtoken.Key {
	published := make(map[uint8]bool, len(v.Keys))
	keys := make([]pimtoken.Key, 0, len(v.Keys)+len(settings))
	for _, k := range v.Keys {
		published[k.ID] = true
		keys = append(keys, pimtoken.Key{ID: k.ID, Secret: k.Secret, PublishedAt: k.PublishedAt, RetiredAt: k.RetiredAt})
	}
	for _, k := range settings {
		if !published[k.ID] {
			keys = append(keys, k)
		}
	}
	return keys
}
