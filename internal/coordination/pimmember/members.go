package pimmember

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Message is a datagram to send; the caller adds the send time and seals it.
type Message struct {
	To      pimid.NodeID
	Address netip.AddrPort
	Gossip  *pimpb.Gossip
}

// Counters count what the detector observed; they only grow.
type Counters struct {
	Probes      uint64
	Suspicions  uint64
	Failures    uint64
	Refutations uint64
	// Conflicts counts updates with a newer incarnation of this VM than the running one.
	Conflicts uint64
	// Unlisted counts messages and updates that were dropped because the VM is unknown, because it was removed from the
	// published list or not listed within its grace period, or because there are too many unlisted VMs.
	Unlisted uint64
	// StaleLists counts published lists with a lower version than the current one.
	StaleLists uint64
	// Pauses counts gaps between ticks that were so long that missing answers were disregarded.
	Pauses uint64
}

// Members is the table of VMs and the failure detector of one VM; it is safe for concurrent use.
type Members struct {
	cfg        Settings
	rendezvous atomic.Pointer[map[pimid.DataCentre]*rendezvous]
	backends   backendTable
	// changes counts changes of roles and of backend statuses.
	changes atomic.Uint64

	mu      sync.Mutex
	rng     *rand.Rand
	records map[pimid.NodeID]*record
	// formerIncarnations holds the successors of earlier incarnations that ended with a planned stop.
	formerIncarnations map[incarnationID]formerIncarnation
	self               *record
	changedDCs         map[pimid.DataCentre]bool
	counts             Counters
	// listed is set once a published list has arrived; version is the version of that list.
	listed  bool
	version uint64
	// These lists are sorted by id. peers holds the reachable and dead the failed VMs of the local data centre; gone holds
	// all VMs that failed or announced a stop.
	peers, suspects, dead, gone, unlisted []pimid.NodeID
	// announced is the highest revision that any VM announced.
	announced pimid.Revision
	// dirty is set if lists and rendezvous tables have to be rebuilt.
	dirty    bool
	lastTick pimclock.Instant
	digest   *pimpb.ConfigDigest

	sequence uint64
	probe    probe
	// remotePing is a ping of a VM of another data centre, which a VM without peers sends. It tells nothing about failures.
	remotePing probe
	// answeredAsOf is when the last ping was sent that was answered.
	answeredAsOf   pimclock.Instant
	nextProbe      pimclock.Instant
	probeOrder     []pimid.NodeID
	indirectProbes map[uint64]indirectProbe

	queue       queue
	remoteQueue queue
	nextPush    pimclock.Instant
	budget      byteBudget
	// digestSends is the number of times that the current digest is still to be pushed.
	digestSends int
	nextDigest  pimclock.Instant
	// lastReceived is when the last message arrived from each data centre.
	lastReceived map[pimid.DataCentre]pimclock.Instant
	// nextAbnormal and nextGone count up to go through abnormal states and gone VMs in turn.
	nextAbnormal uint
	nextGone     uint
}

// New returns the table of a VM that knows only itself and its seeds.
func New(cfg Settings, now pimclock.Instant, rng *rand.Rand) *Members {
	cfg = cfg.withDefaults()
	m := &Members{
		cfg: cfg, rng: rng, records: map[pimid.NodeID]*record{}, formerIncarnations: map[incarnationID]formerIncarnation{}, changedDCs: map[pimid.DataCentre]bool{},
		indirectProbes: map[uint64]indirectProbe{}, lastReceived: map[pimid.DataCentre]pimclock.Instant{}, lastTick: now,
		remoteQueue: queue{cap: maxRemoteQueue}, budget: byteBudget{level: gossipBurst, last: now}, digest: &pimpb.ConfigDigest{},
	}
	m.rendezvous.Store(&map[pimid.DataCentre]*rendezvous{})
	m.backends.init()
	m.self = &record{Member: Member{
		ID: cfg.Self, DataCentre: cfg.DataCentre, Address: cfg.Address, Incarnation: cfg.Incarnation, State: Alive,
	}}
	m.records[cfg.Self] = m.self
	m.updateRole(m.self)
	for _, n := range cfg.Seeds {
		if n.ID != cfg.Self {
			m.add(&record{Member: Member{ID: n.ID, DataCentre: n.DataCentre, Address: n.PeerAddress, State: Alive}, unlistedSince: now})
		}
	}
	// The first probe starts at a random time, so that VMs that start together do not probe at the same time.
	m.nextProbe = now.Add(jitter(rng, cfg.ProbeInterval))
	m.nextPush = now.Add(jitter(rng, cfg.PushInterval))
	m.nextDigest = now.Add(jitter(rng, cfg.DigestInterval))
	m.rebuildIfDirty()
	m.enqueue(m.self)
	return m
}

// SetPublished sets the list of VMs that the platform published: only listed VMs may own keys. A lower version than the
// current one is ignored.
func (m *Members) SetPublished(now pimclock.Instant, version uint64, nodes []pimview.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.rebuildIfDirty()
	if m.listed && version < m.version {
		m.counts.StaleLists++
		return
	}
	m.listed, m.version = true, version
	published := make(map[pimid.NodeID]bool, len(nodes))
	for _, n := range nodes {
		published[n.ID] = true
		m.setListed(now, n)
	}
	for id, r := range m.records {
		if r.Listed && !published[id] {
			r.Listed, r.expired, r.unlistedSince = false, id != m.self.ID, now
			m.updateRole(r)
		}
	}
}

func (m *Members) setListed(now pimclock.Instant, n pimview.Node) {
	r, ok := m.records[n.ID]
	if !ok {
		r = &record{Member: Member{ID: n.ID, State: Alive}, unlistedSince: now}
		m.add(r)
	}
	r.Listed, r.expired = true, false
	r.listedLeaving = n.State == pimview.NodeLeaving
	r.DataCentre = n.DataCentre
	if n.PeerAddress.IsValid() {
		r.Address = n.PeerAddress
	}
	m.updateRole(r)
}

func (m *Members) add(r *record) {
	m.records[r.ID] = r
	m.updateRole(r)
}

// updateRole marks rendezvous tables and lists for a rebuild if the role of a VM has changed; a new incarnation or
// counter alone is no such change.
func (m *Members) updateRole(r *record) {
	current := r.currentRole()
	if current == r.role {
		return
	}
	m.changedDCs[r.role.dataCentre], m.changedDCs[current.dataCentre] = true, true
	r.role = current
	m.dirty = true
}

// rebuildIfDirty rebuilds the lists and the rendezvous tables of the changed data centres; the caller holds the lock.
func (m *Members) rebuildIfDirty() {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.rebuildLists()
	m.rebuildRendezvous()
	clear(m.changedDCs)
	m.changes.Add(1)
}

// AnsweredAsOf returns when the last ping was sent that another VM has answered, with the revision that it knew then or later. When the
// answer was handled says nothing, since it may have waited in the socket. Zero means never.
func (m *Members) AnsweredAsOf() pimclock.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAsOf
}

// Changes returns a number that grows whenever an owner or the status of a backend server may have changed.
func (m *Members) Changes() uint64 { return m.changes.Load() }

// Counters returns the counts so far.
func (m *Members) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Member returns what is known about a VM; it reports false if nothing is.
func (m *Members) Member(id pimid.NodeID) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// All returns what is known about all VMs, in no particular order.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.records))
	for _, r := range m.records {
		out = append(out, r.Member)
	}
	return out
}
