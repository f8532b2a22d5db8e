package pimroute

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// Placer chooses backend servers for new flows; it must be safe for concurrent use.
type Placer interface {
	// Place returns a backend server for a new flow of the service; ok is false if none accepts one. The router
	// takes generation and addresses from its own view.
	Place(now pimclock.Instant, service pimid.ServiceID) (backend pimid.BackendID, ok bool)
}

// Admitter holds the flow limits of the contracts; it must be safe for concurrent use.
type Admitter interface {
	// AdmitFlow decides about one new flow and counts it if it is admitted; otherwise retryAfter says when to try
	// again.
	AdmitFlow(now pimclock.Instant, contract pimid.ContractID) (ok bool, retryAfter time.Duration)
	// RefreshFlow counts one refresh of an open flow, which never fails.
	RefreshFlow(now pimclock.Instant, contract pimid.ContractID)
}

// HomeStatus is what this VM knows about one run of one VM.
type HomeStatus uint8

// The states of a home VM.
const (
	// HomeLost means that the VM is dead, unknown or in another incarnation.
	HomeLost HomeStatus = iota
	// HomeLive means that the VM is live in that incarnation.
	HomeLive
	// HomeLeft means that the VM has stopped as planned and has named a successor.
	HomeLeft
)

// Home is one run of one VM.
type Home struct {
	Node        pimid.NodeID
	Incarnation pimid.Incarnation
}

// Members is the part of the membership that routing needs; it must be safe for concurrent use.
type Members interface {
	// HomeState returns the state of one run of a VM; successor is only set for HomeLeft.
	HomeState(home Home) (status HomeStatus, successor Home)
	// NewerPeer returns a random live peer that has announced a revision above the given one.
	NewerPeer(revision pimid.Revision) (node pimid.NodeID, ok bool)
}

// Hosts reports backend servers that this VM knows to be gone before the view says so; it must be safe for concurrent
// use.
type Hosts interface {
	// Gone reports whether this run of the backend server has ended. A mere suspicion is not enough, since it would
	// break flows that are still served.
	Gone(backend pimid.BackendID, generation pimid.Generation) bool
}

// Config holds what a Router needs from its VM.
type Config struct {
	// Self is this run of this VM; tokens are issued with it as home.
	Self Home
	// Keys from the settings are used in addition to the keys of the view; a key of the view replaces one with the
	// same id.
	Keys []pimtoken.Key
	// Rand chooses the first flow id.
	Rand     *rand.Rand
	Placer   Placer
	Admitter Admitter
	Members  Members
	// Hosts may be nil; then only the view says which backend servers are gone.
	Hosts Hosts
}

// mergeKeys merges the keys of the settings and of the view.
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
