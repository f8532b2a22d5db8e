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

// View is what this VM announces about itself in heartbeats and pulls.
type View struct {
	Revision pimid.Revision
	// Base is the oldest revision since which this VM can send the changes.
	Base pimid.Revision
	// Config is the version of its configuration.
	Config pimcatalog.Version
	// Urgent is the revision up to which it knows the changes of backend servers; it is Revision if that is higher.
	Urgent pimid.Revision
	// Age is the time since the platform was known to have nothing newer.
	Age   time.Duration
	Loads []pimmesh.HostLoad
	// Services is the load of the services in this data centre, for the others, as measured at ServicesAt.
	Services   []pimmesh.ServiceLoad
	ServicesAt pimclock.Instant
}

// urgent returns the revision up to which the changes of backend servers are known.
func (v *View) urgent() pimid.Revision { return max(v.Urgent, v.Revision) }

// peer is what is known about another VM.
type peer struct {
	name    string
	address netip.AddrPort
	// receivedAt is when its last heartbeat arrived, or zero if it is known only from the heartbeats of other VMs;
	// namedAt is when one of those named it.
	receivedAt pimclock.Instant
	namedAt    pimclock.Instant
	leaving    bool
	// incarnation identifies the process run of the VM, which was first heard from at heardSince.
	incarnation uint64
	heardSince  pimclock.Instant
	// known is the number of VMs of the data centre, itself included, that it last reported to know; zero if it has reported none.
	known int
	// offset is the smallest difference between the local clock when a heartbeat arrived and the sender's clock when it
	// was sent, as of offsetAt, and isOffsetKnown whether it is that of a heartbeat that did not wait. compared is the
	// heartbeat with which the next one is compared to find that out.
	offset        time.Duration
	offsetAt      pimclock.Instant
	isOffsetKnown bool
	compared      *sample
	// lead is the most by which the clock of this VM can be ahead of the local one, as its echoes say, as of leadAt; isLeadKnown is
	// set once one has arrived.
	lead        time.Duration
	leadAt      pimclock.Instant
	isLeadKnown bool
	// reportedAt is when its last loads were sent, as far as known.
	reportedAt pimclock.Instant
	loads      map[pimcatalog.HostID]pimmesh.HostLoad
	speeds     map[pimcatalog.HostID]speedReport
}

// Mesh holds what a VM knows about the other VMs; it is safe for concurrent use.
type Mesh struct {
	cfg Settings
	rng *rand.Rand

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// remotePeers holds VMs of other data centres, so that a hello from there is answered with VMs of its data centre.
	remotePeers   map[pimid.DataCentre]map[netip.AddrPort]*peer
	lastHeartbeat pimclock.Instant
	lastHello     pimclock.Instant
	// runningSince is when this VM started, or resumed after a pause; lastReceived is when the last heartbeat
	// arrived, which may have waited until it was read. informed is set once a VM has reported since how many VMs it knows.
	runningSince, lastReceived pimclock.Instant
	informed                   bool
	// hash is the rank of this VM among readers; see readerHash. reading is set while this VM should read the platform,
	// canRead unless the last read failed.
	hash             uint64
	reading, canRead bool
	readingSince     pimclock.Instant
	// remote holds the loads of other data centres; nextRemote is the first one in the next heartbeat.
	remote      map[RemoteService]RemoteLoad
	nextRemote  RemoteService
	lastSummary pimclock.Instant
	// stopping is set once this VM has announced that it is about to stop.
	stopping bool
	// incarnation is a random number that identifies this process run.
	incarnation uint64
	// claim is the claim received from another reader.
	claim claim
	// pulls are those of all changes, urgentPulls those of backend servers alone, which do not wait for a large answer to the former.
	pulls, urgentPulls pulls
	// discarded is the number of transfers that were replaced before they were complete.
	discarded int
}

// New returns a mesh that knows no other VM.
func New(cfg Settings, rng *rand.Rand) *Mesh {
	return &Mesh{
		cfg: cfg, rng: rng, incarnation: rng.Uint64(), canRead: true, hash: readerHash(cfg.Name), peers: map[netip.AddrPort]*peer{},
		remotePeers: map[pimid.DataCentre]map[netip.AddrPort]*peer{}, remote: map[RemoteService]RemoteLoad{},
	}
}

// SetSeeds replaces the seeds; hellos are due again with the next heartbeats.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.Seeds, m.lastHello = seeds, 0
}

// Tick returns the heartbeats and hellos that are due.
func (m *Mesh) Tick(now pimclock.Instant, v View) (out []Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) < m.cfg.HeartbeatInterval {
		return nil
	}
	if m.hasPaused(now) {
		m.runningSince, m.informed = now, false
	}
	m.lastHeartbeat = now
	m.expirePeers(now)
	m.expireRemote(now)
	out = m.heartbeats(now, v)
	isIsolated := len(out) == 0
	out = append(out, m.retryTransfers(now, v)...)
	out = append(out, m.summaries(now, v)...)
	return append(out, m.hellos(now, v, isIsolated)...)
}

// Announce returns heartbeats to some VMs at once, after the view has changed or before this VM stops. A reader that stops hands
// over to the first of them; it goes on to read for itself, but claims nothing any more. If the message is lost, another VM takes
// over once its view is old.
func (m *Mesh) Announce(now pimclock.Instant, v View, leaving bool) (out []Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = m.stopping || leaving
	out = m.heartbeats(now, v)
	for i := range out {
		out[i].Message.Heartbeat.Leaving = leaving
	}
	if leaving && m.reading && len(out) > 0 {
		out[0].Message.Heartbeat.TakeOver = true
	}
	return out
}

// heartbeats returns a heartbeat for each of up to Fanout random running VMs.
func (m *Mesh) heartbeats(now pimclock.Instant, v View) (out []Outgoing) {
	running := m.running(now)
	m.rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	for _, p := range running[:min(len(running), m.cfg.Fanout)] {
		out = append(out, Outgoing{To: p.address, Message: m.heartbeat(now, v, p, m.sample(running))})
	}
	if len(out) > 0 {
		// One receiver in Fanout is enough for what changes slowly.
		first := out[0].Message.Heartbeat
		first.Remote, first.RemotePeers = m.remoteToSend(now), m.remotePeerToSend(now, m.cfg.DataCentre)
	}
	return out
}

// hellos returns hello heartbeats for VMs that may have started or restarted: seeds, and peers that are not running.
// isolated is set if no other VM of the data centre is running.
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
	if isolated || m.rng.IntN(m.countRunning(now)) < m.cfg.Fanout || m.sendsSummaries(now) {
		// Only some VMs of a data centre send hellos to the seeds, so that a large one loads them no more than a small one. Those
		// that send summaries learn VMs of other data centres from the answers.
		targets = slices.Clone(m.cfg.Seeds)
	}
	for _, p := range m.chosen(m.peers, func(p *peer) bool { return !m.isRunning(now, p) }) {
		targets = append(targets, p.address)
	}
	for _, to := range targets {
		if to == m.cfg.Address {
			continue
		}
		msg := m.heartbeat(now, v, m.known(to), nil)
		msg.Heartbeat.Hello = true
		out = append(out, Outgoing{To: to, Message: msg})
	}
	return out
}

// known returns what is known about the VM at an address, in any data centre, or nil.
func (m *Mesh) known(address netip.AddrPort) *peer {
	if p := m.peers[address]; p != nil {
		return p
	}
	for _, of := range m.remotePeers {
		if p := of[address]; p != nil {
			return p
		}
	}
	return nil
}

// heartbeat returns a heartbeat for a VM, or for one that is not known if to is nil.
func (m *Mesh) heartbeat(now pimclock.Instant, v View, to *peer, peers []pimmesh.PeerAddress) pimmesh.Message {
	return pimmesh.Message{Heartbeat: &pimmesh.Heartbeat{
		Name: m.cfg.Name, DataCentre: m.cfg.DataCentre, Address: m.cfg.Address,
		Revision: v.Revision, Age: v.Age, Claim: m.claimToSend(now, v.Age), Loads: v.Loads, Peers: peers,
		SentAt: time.Duration(now), Incarnation: m.incarnation, Base: v.Base, Known: m.knownToReport(now), Urgent: v.urgent(), Echo: to.echo(now),
	}}
}

// sampleSize is the highest number of VMs that a heartbeat names.
const sampleSize = 6

// sample returns the names and addresses of up to sampleSize VMs, from a random one on.
func (m *Mesh) sample(of []*peer) (names []pimmesh.PeerAddress) {
	if len(of) == 0 {
		return nil
	}
	first := m.rng.IntN(len(of))
	for i := range min(len(of), sampleSize) {
		p := of[(first+i)%len(of)]
		names = append(names, pimmesh.PeerAddress{Name: p.name, Address: p.address})
	}
	return names
}

func (m *Mesh) running(now pimclock.Instant) []*peer {
	return m.chosen(m.peers, func(p *peer) bool { return m.isRunning(now, p) })
}

// countRunning returns the number of other running VMs.
func (m *Mesh) countRunning(now pimclock.Instant) (n int) {
	for _, p := range m.peers {
		if m.isRunning(now, p) {
			n++
		}
	}
	return n
}

// chosen returns the wanted VMs in the order of their addresses, so that what is sent depends only on the random numbers.
func (m *Mesh) chosen(of map[netip.AddrPort]*peer, wanted func(*peer) bool) (chosen []*peer) {
	for _, p := range of {
		if wanted(p) {
			chosen = append(chosen, p)
		}
	}
	slices.SortFunc(chosen, func(a, b *peer) int { return a.address.Compare(b.address) })
	return chosen
}

func (m *Mesh) isRunning(now pimclock.Instant, p *peer) bool {
	return p.receivedAt != 0 && !p.leaving && now.Sub(p.receivedAt) <= m.peerTimeout()
}

// missedHeartbeats is the number of mean intervals between two heartbeats of one VM after which it no longer counts as
// running. Receivers are chosen at random, so one of 50 intervals is longer than this.
const missedHeartbeats = 4

// peerTimeout is how long a silent VM counts as running. It grows with the number of peers, since each VM sends a
// heartbeat to only Fanout of them.
func (m *Mesh) peerTimeout() time.Duration {
	meanInterval := m.cfg.HeartbeatInterval * time.Duration(len(m.peers)) / time.Duration(m.cfg.Fanout)
	return max(m.cfg.PeerTimeout, missedHeartbeats*meanInterval)
}

// removalTimeout is how long a silent VM is known.
func (m *Mesh) removalTimeout() time.Duration { return m.peerTimeout() + m.cfg.RemoveAfter }

func (m *Mesh) expirePeers(now pimclock.Instant) {
	expire := func(of map[netip.AddrPort]*peer) {
		for address, p := range of {
			if now.Sub(max(p.receivedAt, p.namedAt)) > m.removalTimeout() {
				delete(of, address)
			}
		}
	}
	expire(m.peers)
	for dc, of := range m.remotePeers {
		if expire(of); len(of) == 0 {
			delete(m.remotePeers, dc)
		}
	}
}

// Running returns the number of other running VMs of the data centre.
func (m *Mesh) Running(now pimclock.Instant) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countRunning(now)
}
