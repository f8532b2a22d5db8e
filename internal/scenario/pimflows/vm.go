package pimflows

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// vm is one VM with its router and its own view, which may be old.
type vm struct {
	s      *sim
	home   pimroute.Home
	router *pimroute.Router
	view   *pimview.View
	*derived
	// stuckUntil is the unix time in seconds until which the VM applies no new view.
	stuckUntil int64
	// dead is true if the VM no longer runs. From replaceAt, in unix seconds, the fabric delivers packets to its
	// replacement.
	dead      bool
	replaceAt int64
}

// derived is the data that a VM derives from a view. VMs with the same view share it, to save time.
type derived struct {
	live   map[pimid.ServiceID][]pimview.Backend
	maglev map[pimid.ServiceID][]pimid.BackendID
}

func newDerived(v *pimview.View) *derived {
	d := &derived{
		live:   make(map[pimid.ServiceID][]pimview.Backend),
		maglev: make(map[pimid.ServiceID][]pimid.BackendID),
	}
	for service := pimid.ServiceID(1); service <= services; service++ {
		d.live[service] = liveHosts(v, service)
		d.maglev[service] = maglevTable(d.live[service])
	}
	return d
}

// startVM starts a VM without state other than the view of a random VM.
func (s *sim) startVM() *vm {
	s.nextVM++
	m := &vm{s: s, home: pimroute.Home{Node: s.nextVM, Incarnation: pimid.Incarnation(s.env.rng.Uint64())}}
	seed := rand.NewPCG(s.env.rng.Uint64(), 1)
	m.router = pimroute.New(pimroute.Config{Self: m.home, Rand: rand.New(seed), Placer: m, Admitter: m, Members: m})
	v := s.env.latest()
	if len(s.fleet) > 0 {
		v = s.fleet[s.env.rng.IntN(len(s.fleet))].view
	}
	m.apply(v)
	return m
}

func (m *vm) apply(v *pimview.View) {
	if err := m.router.Update(m.s.env.now, v); err != nil {
		panic(err)
	}
	m.view = v
	m.derived = m.s.env.derived[v.Revision-1]
}

// catchUp applies, in the order of their revisions, the views that have reached this VM, and confirms the
// latest view once it is applied. Each view has its own delay.
func (m *vm) catchUp() {
	if m.s.env.now < m.stuckUntil {
		return
	}
	for m.view != m.s.env.latest() {
		i := int(m.view.Revision)
		if m.s.env.now < m.s.env.publishedAt[i]+m.viewDelay(i) {
			return
		}
		m.apply(m.s.env.views[i])
	}
	m.router.Confirm(m.s.env.now)
}

// viewDelay returns the delay of a view at this VM in seconds: a hash of VM and revision, at most MaxViewDelay.
func (m *vm) viewDelay(revision int) int64 {
	key := []byte{byte(m.home.Node), byte(m.home.Node >> 8), byte(revision), byte(revision >> 8)}
	return int64(xxhash.Sum64(key) % uint64(m.s.cfg.MaxViewDelay+1))
}

// Place implements pimroute.Placer. It returns a random live backend server of this VM's view.
func (m *vm) Place(_ pimclock.Instant, service pimid.ServiceID) (id pimid.BackendID, ok bool) {
	live := m.live[service]
	if len(live) == 0 {
		return 0, false
	}
	return live[m.s.env.rng.IntN(len(live))].ID, true
}

// AdmitFlow implements pimroute.Admitter. It admits every flow.
func (*vm) AdmitFlow(pimclock.Instant, pimid.ContractID) (ok bool, retryAfter time.Duration) {
	return true, 0
}

// RefreshFlow implements pimroute.Admitter. It does nothing.
func (*vm) RefreshFlow(pimclock.Instant, pimid.ContractID) {}

// HomeStatus implements pimroute.Members. It reports every home as lost, since flows do not depend on homes.
func (*vm) HomeStatus(pimroute.Home) (status pimroute.HomeStatus, successor pimroute.Home) {
	return pimroute.HomeLost, successor
}

// NewerPeer implements pimroute.Members. It returns a VM with a higher revision, searching from a random one.
func (m *vm) NewerPeer(revision pimid.Revision) (node pimid.NodeID, ok bool) {
	first := m.s.env.rng.IntN(len(m.s.fleet))
	for i := range m.s.fleet {
		peer := m.s.fleet[(first+i)%len(m.s.fleet)]
		if peer.view.Revision > revision {
			return peer.home.Node, true
		}
	}
	return 0, false
}
