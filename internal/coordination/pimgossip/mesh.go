package pimgossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Outgoing is a message to one VM.
type Outgoing struct {
	To      netip.AddrPort
	Message pimmesh.Message
}

// View is what this VM tells of itself.
type View struct {
	Revision pimid.Revision
	// Base is the oldest revision since which this VM can tell the changes, Config that of its configuration.
	Base, Config pimid.Revision
	Age          time.Duration
	Loads        []pimmesh.HostLoad
}

// peer is what is known of another VM of the data centre.
type peer struct {
	name    string
	address netip.AddrPort
	// heard is when its last beat arrived; zero if only others have named it.
	heardAt pimclock.Instant
	namedAt pimclock.Instant
	leaving bool
	run     uint64
	// offset is the smallest difference between the own clock at the arrival of a beat and the sender's when it left, as of
	// offsetAt; beats counts them.
	offset     time.Duration
	offsetAt   pimclock.Instant
	heartbeats int
	loads      map[pimcatalog.HostID]pimmesh.HostLoad
}

// Mesh holds what a VM knows of the others; it is safe for concurrent use.
type Mesh struct {
	cfg Settings
	rng *rand.Rand

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// strangers are VMs of other data centres by data centre, for those who ask.
	remotePeers   map[pimid.DataCentre]map[netip.AddrPort]*peer
	lastHeartbeat pimclock.Instant
	lastHello     pimclock.Instant
	// hash orders the VMs that read the platform; reading is set while this one does.
	hash             uint64
	reading, canRead bool
	readingSince     pimclock.Instant
	run              uint64
	claim            claim
	// pulled is when changes after pulledSince were asked for, and pullWait the wait for the answer.
	pulledAt    pimclock.Instant
	pulledSince pimid.Revision
	pullTimeout time.Duration
}

// New returns a mesh that knows nobody.
func New(cfg Settings, rng *rand.Rand) *Mesh {
	return &Mesh{
		cfg: cfg, rng: rng, run: rng.Uint64(), canRead: true, hash: readerHash(cfg.Name), peers: map[netip.AddrPort]*peer{},
		remotePeers: map[pimid.DataCentre]map[netip.AddrPort]*peer{},
	}
}

// SetSeeds replaces the seeds; they are greeted at the next beat.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Seeds, m.lastHello = seeds, 0
}

// Tick returns the beats that are due.
func (m *Mesh) Tick(now pimclock.Instant, v View) (out []Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) < m.cfg.HeartbeatInterval {
		return nil
	}
	m.lastHeartbeat = now
	m.expirePeers(now)
	out = m.heartbeats(now, v)
	return append(out, m.hellos(now, v, len(out) == 0)...)
}

// Announce returns beats to some VMs at once, after the view has changed or before the VM stops.
func (m *Mesh) Announce(now pimclock.Instant, v View, leaving bool) (out []Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out = m.heartbeats(now, v)
	for i := range out {
		out[i].Message.Beat.Leaving = leaving
	}
	return out
}

// beats returns a beat for each of a few random running VMs.
func (m *Mesh) heartbeats(now pimclock.Instant, v View) (out []Outgoing) {
	running := m.running(now)
	m.rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for _, p := range running[:min(len(running), m.cfg.Fanout)] {
		out = append(out, Outgoing{To: p.address, Message: m.heartbeat(now, v, m.sample(m.peers, func(p *peer) bool { return m.isRunning(now, p) }))})
	}
	return out
}

// greetings returns beats for VMs that may have come or come back: seeds, and those that have fallen silent.
func (m *Mesh) hellos(now pimclock.Instant, v View, isolated bool) (out []Outgoing) {
	interval := m.cfg.HelloInterval
	if isolated {
		interval = m.cfg.IsolatedHelloInterval
	}
	if m.lastHello != 0 && now.Sub(m.lastHello) < interval {
		return nil
	}
	m.lastHello = now
	var targets []netip.AddrPort
	if isolated || m.rng.IntN(len(m.running(now))) < m.cfg.Fanout {
		// Some VMs of a data centre greet for all, so that seeds hear as much from a large one as from a small one.
		targets = slices.Clone(m.cfg.Seeds)
	}
	for _, p := range m.peers {
		if !m.isRunning(now, p) {
			targets = append(targets, p.address)
		}
	}
	for _, to := range targets {
		if to == m.cfg.Address {
			continue
		}
		msg := m.heartbeat(now, v, nil)
		msg.Beat.Hello = true
		out = append(out, Outgoing{To: to, Message: msg})
	}
	return out
}

func (m *Mesh) heartbeat(now pimclock.Instant, v View, peers []pimmesh.PeerAddress) pimmesh.Message {
	return pimmesh.Message{Beat: &pimmesh.Beat{
		Name: m.cfg.Name, DataCentre: m.cfg.DataCentre, Address: m.cfg.Address,
		Revision: v.Revision, Age: v.Age, Claim: m.claimToSend(now), Loads: v.Loads, Peers: peers,
		SentAt: time.Duration(now), Run: m.run, Base: v.Base,
	}}
}

// sampleSize is the number of VMs that a beat names.
const sampleSize = 6

// sample names some VMs that were heard.
func (m *Mesh) sample(of map[netip.AddrPort]*peer, wanted func(*peer) bool) (names []pimmesh.PeerAddress) {
	for _, p := range of {
		// The order of a map is random enough.
		if wanted(p) {
			names = append(names, pimmesh.PeerAddress{Name: p.name, Address: p.address})
		}
		if len(names) == sampleSize {
			break
		}
	}
	return names
}

func (m *Mesh) running(now pimclock.Instant) (running []*peer) {
	for _, p := range m.peers {
		if m.isRunning(now, p) {
			running = append(running, p)
		}
	}
	// A fixed order makes runs with the same random numbers equal.
	slices.SortFunc(running, func(a, b *peer) int { return a.address.Compare(b.address) })
	return running
}

func (m *Mesh) isRunning(now pimclock.Instant, p *peer) bool {
	return p.heardAt != 0 && !p.leaving && now.Sub(p.heardAt) <= m.peerTimeout()
}

// missedBeats is the number of mean times between two beats of the same VM after which it counts as silent: one of 50
// beats takes longer, since the receivers of beats are chosen at random.
const missedHeartbeats = 4

// aliveFor is how long a silent VM counts as running. In a large data centre a VM hears from each other one seldom.
func (m *Mesh) peerTimeout() time.Duration {
	meanInterval := m.cfg.HeartbeatInterval * time.Duration(len(m.peers)) / time.Duration(m.cfg.Fanout)
	return max(m.cfg.PeerTimeout, missedHeartbeats*meanInterval)
}

func (m *Mesh) expirePeers(now pimclock.Instant) {
	expire := func(of map[netip.AddrPort]*peer) {
		for address, p := range of {
			if now.Sub(max(p.heardAt, p.namedAt)) > m.peerTimeout()+m.cfg.ForgetAfter {
				delete(of, address)
			}
		}
	}
	expire(m.peers)
	for _, of := range m.remotePeers {
		expire(of)
	}
}

// Running returns the number of other VMs of the data centre that are heard.
func (m *Mesh) Running(now pimclock.Instant) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running(now))
}
