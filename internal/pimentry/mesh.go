package pimentry

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// mesh carries the messages between the VMs; its loops are the only users of the socket.
type mesh struct {
	node     *Node
	conn     *net.UDPConn
	sealer   *pimseal.Sealer
	gossip   *pimgossip.Mesh
	every    time.Duration
	assembly pimgossip.Assembly
	// reports is what the edge sees of the backend servers.
	reports atomic.Pointer[[]pimflow.Report]
	counts  meshCounters
	stop    chan struct{}
	wg      sync.WaitGroup
}

// meshCounters count messages and bytes of control.
type meshCounters struct {
	sent, received, dropped, sentBytes, pulls *metrics.Counter
}

// newMesh opens the socket for messages of other VMs; cleanup closes it.
func newMesh(n *Node, rng *rand.Rand) (m *mesh, cleanup func(), err error) {
	secret, err := n.cfg.Cluster.Load()
	if err != nil {
		return nil, nil, err
	}
	sealer, err := pimseal.New(secret, pimseal.Identity{
		Node:        xxhash.Sum64String(n.cfg.Peer.Address.String()),
		Incarnation: pimid.NewIncarnation(time.Now().UnixMilli(), rng.Uint64()),
	})
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.cfg.Peer.Address))
	if err != nil {
		return nil, nil, err
	}
	cfg := pimgossip.DefaultSettings(time.Duration(n.cfg.Platform.InForceWithin))
	cfg.Name, cfg.DataCentre = n.cfg.Node.Name, n.cfg.Node.DataCentre
	cfg.Address, cfg.Seeds = n.cfg.Peer.Address, n.cfg.Peer.SeedAddresses()
	m = &mesh{
		node: n, conn: conn, sealer: sealer, gossip: pimgossip.New(cfg, rng), every: cfg.HeartbeatInterval, stop: make(chan struct{}),
		counts: meshCounters{
			sent:      n.set.NewCounter("pimentoyard_peer_messages_sent_total"),
			received:  n.set.NewCounter("pimentoyard_peer_messages_received_total"),
			dropped:   n.set.NewCounter("pimentoyard_peer_messages_dropped_total"),
			sentBytes: n.set.NewCounter("pimentoyard_peer_bytes_sent_total"),
			pulls:     n.set.NewCounter("pimentoyard_peer_pulls_total"),
		},
	}
	return m, m.close, nil
}

// start begins to send and receive.
func (m *mesh) start() {
	m.wg.Go(m.runReceiver)
	m.wg.Go(m.runTicker)
}

func (m *mesh) close() {
	close(m.stop)
	if err := m.conn.Close(); err != nil {
		m.node.log.Debug().Err(err).Msg("close peer socket")
	}
	m.wg.Wait()
}

func (m *mesh) runTicker() {
	ticker := time.NewTicker(m.every)
	defer ticker.Stop()
	m.sendAll(m.gossip.Tick(m.node.clock.Now(), m.view()))
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.sendAll(m.gossip.Tick(m.node.clock.Now(), m.view()))
		}
	}
}

// tell spreads a change of the view, or the end of this VM, without waiting for the next beat.
func (m *mesh) tell(leaving bool) {
	m.sendAll(m.gossip.Announce(m.node.clock.Now(), m.view(), leaving))
}

func (m *mesh) view() pimgossip.View {
	r := m.node.registry
	q := r.DeltaRequest()
	v := pimgossip.View{Revision: q.From, Base: q.Base, Config: q.Config, Age: r.Age(m.node.clock.Now())}
	if reports := m.reports.Load(); reports != nil {
		v.Loads = loads(*reports)
	}
	return v
}

// maxLoads bounds the backend servers in a beat, so that it fits a datagram.
const maxLoads = 40

func loads(reports []pimflow.Report) (told []pimmesh.HostLoad) {
	const hundredths = 100
	for _, r := range reports[:min(len(reports), maxLoads)] {
		told = append(told, pimmesh.HostLoad{
			ID: r.ID, Busy: int(r.Busy * hundredths), Open: r.Open, SilentFor: r.SilentFor.Round(time.Millisecond),
		})
	}
	return told
}

func (m *mesh) sendAll(out []pimgossip.Outgoing) {
	for i := range out {
		m.send(out[i].To, &out[i].Message)
	}
}

func (m *mesh) send(to netip.AddrPort, msg *pimmesh.Message) {
	plain, err := pimmesh.Encode(msg)
	if err == nil {
		var datagram []byte
		if datagram, err = m.sealer.Seal(time.Now().UnixMilli(), plain); err == nil {
			_, err = m.conn.WriteToUDPAddrPort(datagram, to)
			m.counts.sent.Inc()
			m.counts.sentBytes.Add(len(datagram))
		}
	}
	if err != nil {
		m.node.log.Debug().Err(err).Stringer("to", to).Msg("message not sent")
	}
}

func (m *mesh) runReceiver() {
	buf := make([]byte, pimseal.MaxDatagram+1)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.node.log.Debug().Err(err).Msg("message not read")
			continue
		}
		m.receive(buf[:n], from)
	}
}

func (m *mesh) receive(datagram []byte, from netip.AddrPort) {
	var msg pimmesh.Message
	_, plain, err := m.sealer.Open(time.Now().UnixMilli(), datagram)
	if err == nil {
		err = pimmesh.Decode(plain, &msg)
	}
	if err != nil {
		m.counts.dropped.Inc()
		m.node.log.Debug().Err(err).Str("reason", pimseal.Reason(err)).Stringer("from", from).Msg("message dropped")
		return
	}
	m.counts.received.Inc()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	switch {
	case msg.Heartbeat != nil:
		m.handleBeat(msg.Heartbeat)
	case msg.Pull != nil:
		m.handlePull(msg.Pull, from)
	case msg.Chunk != nil:
		m.handleChunk(msg.Chunk, from)
	}
}

// lagAfter is the wait of a beat that shows that this VM does not keep up: on a VM with 0.061 of a core, other work such as
// reading 1,800 routes holds up all its packets. Beats of the same data centre take less than a millisecond otherwise, and
// a sender that waits for its turn up to 100 ms.
const lagAfter = 150 * time.Millisecond

func (m *mesh) handleBeat(b *pimmesh.Heartbeat) {
	heard := m.gossip.Receive(m.node.clock.Now(), b, m.view())
	if heard.Delay > lagAfter {
		m.node.edge.lagged.Store(true)
	}
	if heard.Confirms {
		m.node.registry.Confirm(b.Revision, heard.AsOf)
	}
	m.sendAll(heard.Out)
}

func (m *mesh) handlePull(p *pimmesh.Pull, from netip.AddrPort) {
	m.counts.pulls.Inc()
	delta := m.node.registry.Since(pimregistry.DeltaRequest{From: p.Since, Base: p.Base, Config: p.Config})
	data, err := pimmesh.Encode(&delta)
	if err != nil {
		m.node.log.Warn().Err(err).Msg("changes not encoded")
		return
	}
	chunks := pimgossip.Split(delta.From, delta.To, data)
	for i := range chunks {
		m.send(from, &pimmesh.Message{Chunk: &chunks[i]})
	}
}

func (m *mesh) handleChunk(c *pimmesh.Chunk, from netip.AddrPort) {
	data, complete := m.assembly.Add(c)
	if !complete {
		return
	}
	var delta pimregistry.Delta
	err := pimmesh.Decode(data, &delta)
	before := m.node.registry.Revision()
	if err == nil {
		err = m.node.registry.Merge(delta)
	}
	if err != nil {
		m.node.log.Warn().Err(err).Msg("changes of another vm not taken")
		return
	}
	m.merged(&delta, from, m.node.registry.Revision() > before)
}

// merged acts on what another VM has told; the others hear of it once all parts have arrived.
func (m *mesh) merged(delta *pimregistry.Delta, from netip.AddrPort, isNew bool) {
	switch {
	case isNew && !delta.More:
		m.node.changed()
	case isNew:
		m.node.edge.start()
		next := m.gossip.PullNext(m.node.clock.Now(), from, m.view())
		m.send(next.To, &next.Message)
	}
}
