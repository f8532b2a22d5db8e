package pimentry

import (
	"errors"
	"math"
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
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// mesh exchanges messages with the other VMs: heartbeats, pulls, and chunks of changes. Several goroutines send; only
// runReceiver reads the socket and uses the outbox.
type mesh struct {
	node              *Node
	conn              *net.UDPConn
	sealer            *pimseal.Sealer
	gossip            *pimgossip.Mesh
	heartbeatInterval time.Duration
	outbox            pimgossip.Outbox
	// reports holds the loads of the backend servers that the edge has observed.
	reports atomic.Pointer[[]pimflow.Report]
	// services holds the load of the services in this data centre, for the others.
	services atomic.Pointer[serviceLoads]
	counts   meshCounters
	stop     chan struct{}
	wg       sync.WaitGroup
}

// serviceLoads is the load of the services in this data centre at an instant.
type serviceLoads struct {
	loads []pimmesh.ServiceLoad
	at    pimclock.Instant
}

// meshCounters count the messages between VMs and the bytes sent.
type meshCounters struct {
	sent, received, dropped, sentBytes, pulls, deltas *metrics.Counter
}

// newMesh opens the socket for messages of other VMs; cleanup closes it and waits for the goroutines.
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
	cfg := pimgossip.DefaultSettings(n.cfg.Platform.ConfirmWithin())
	cfg.Name, cfg.DataCentre = n.cfg.Node.Name, n.cfg.Node.DataCentre
	cfg.Address, cfg.Seeds = n.cfg.Peer.Address, n.cfg.Peer.SeedAddresses()
	m = &mesh{
		node: n, conn: conn, sealer: sealer, gossip: pimgossip.New(cfg, rng),
		heartbeatInterval: cfg.HeartbeatInterval, stop: make(chan struct{}),
		counts: meshCounters{
			sent:      n.set.NewCounter("pimentoyard_peer_messages_sent_total"),
			received:  n.set.NewCounter("pimentoyard_peer_messages_received_total"),
			dropped:   n.set.NewCounter("pimentoyard_peer_messages_dropped_total"),
			sentBytes: n.set.NewCounter("pimentoyard_peer_bytes_sent_total"),
			pulls:     n.set.NewCounter("pimentoyard_peer_pulls_total"),
			deltas:    n.set.NewCounter("pimentoyard_peer_deltas_received_total"),
		},
	}
	return m, m.close, nil
}

// start begins to send heartbeats and to receive messages.
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
	ticker := time.NewTicker(m.heartbeatInterval)
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

// announce sends heartbeats to some VMs at once, after the view has changed or, if leaving is set, before this VM stops.
func (m *mesh) announce(leaving bool) {
	m.sendAll(m.gossip.Announce(m.node.clock.Now(), m.view(), leaving))
}

func (m *mesh) view() pimgossip.View {
	v := m.position()
	v.Age = m.node.registry.Age(m.node.clock.Now())
	if reports := m.reports.Load(); reports != nil {
		v.Loads = loads(*reports)
	}
	if services := m.services.Load(); services != nil {
		v.Services, v.ServicesAt = services.loads, services.at
	}
	return v
}

// position returns the revisions of the view, without its age and the loads.
func (m *mesh) position() pimgossip.View {
	req := m.node.registry.DeltaRequest()
	return pimgossip.View{Revision: req.From, Base: req.Base, Config: req.Config, Urgent: req.Urgent}
}

// maxLoads bounds the backend servers in a heartbeat, so that it fits a datagram, and maxSpeeds those with their speeds, which
// change slowly.
const (
	maxLoads  = 40
	maxSpeeds = 8
)

func loads(reports []pimflow.Report) (reported []pimmesh.HostLoad) {
	const hundredths = 100
	speeds := 0
	for _, r := range reports[:min(len(reports), maxLoads)] {
		l := pimmesh.HostLoad{
			ID: r.ID, Busy: int(r.Busy * hundredths), Open: r.Open, SilentFor: r.SilentFor.Round(time.Millisecond),
			Misses: r.Misses, MissedFor: r.MissedFor.Round(time.Millisecond),
		}
		if weight := int(r.Weight); weight > 0 && speeds < maxSpeeds {
			speeds++
			l.Slowness, l.Weight = int(math.Round(r.Slowness*hundredths)), weight
		}
		reported = append(reported, l)
	}
	return reported
}

// encode encodes a message for the wire, and shortens it if it does not fit a datagram.
func (m *mesh) encode(msg *pimmesh.Message) (datagram []byte, err error) {
	for {
		plain, err := pimmesh.Encode(msg)
		if err != nil {
			return nil, err
		}
		datagram, err = m.sealer.Seal(time.Now().UnixMilli(), plain)
		if errors.Is(err, pimseal.ErrTooLarge) && shorten(msg) {
			continue
		}
		return datagram, err
	}
}

// minLoads is the number of loads that a heartbeat keeps as long as it holds loads of other data centres, which take much room only
// if services have long names.
const minLoads = 8

// shorten removes some of the loads of a heartbeat or a summary, and reports whether there were any.
func shorten(msg *pimmesh.Message) bool {
	const kept = 0.8
	hb, summary := msg.Heartbeat, msg.Summary
	switch {
	case hb != nil && (len(hb.Loads) > minLoads || len(hb.Loads) > 0 && len(hb.Remote) == 0):
		hb.Loads = hb.Loads[:int(kept*float64(len(hb.Loads)))]
	case hb != nil && len(hb.Remote) > 0:
		hb.Remote = hb.Remote[:len(hb.Remote)-1]
	case summary != nil && len(summary.Loads) > 0:
		summary.Loads = summary.Loads[:len(summary.Loads)-1]
	default:
		return false
	}
	return true
}

func (m *mesh) sendAll(out []pimgossip.Outgoing) {
	for i := range out {
		m.send(out[i].To, &out[i].Message)
	}
}

func (m *mesh) send(to netip.AddrPort, msg *pimmesh.Message) {
	datagram, err := m.encode(msg)
	if err == nil {
		_, err = m.conn.WriteToUDPAddrPort(datagram, to)
		m.counts.sent.Inc()
		m.counts.sentBytes.Add(len(datagram))
	}
	if err != nil {
		m.node.log.Debug().Err(err).Stringer("to", to).Msg("peer message not sent")
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
			m.node.log.Debug().Err(err).Msg("peer message not read")
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
		m.node.log.Debug().Err(err).Str("reason", pimseal.Reason(err)).Stringer("from", from).Msg("peer message dropped")
		return
	}
	m.counts.received.Inc()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	switch {
	case msg.Heartbeat != nil:
		m.handleHeartbeat(msg.Heartbeat)
	case msg.Pull != nil:
		m.handlePull(msg.Pull, from)
	case msg.Chunk != nil:
		m.handleChunk(msg.Chunk, from)
	case msg.Summary != nil:
		m.gossip.ReceiveSummary(m.node.clock.Now(), msg.Summary)
	}
}

// overloadDelay is the extra transit time of a heartbeat above which this VM counts as overloaded: on a VM with 0.061 of a
// core, other work such as reading 1,800 routes delays all its packets. Otherwise, heartbeats of the same data centre take
// less than a millisecond, or up to 100 ms if the sender waits for processor time.
const overloadDelay = 150 * time.Millisecond

func (m *mesh) handleHeartbeat(hb *pimmesh.Heartbeat) {
	result := m.gossip.Receive(m.node.clock.Now(), hb, m.view())
	if result.Delay > overloadDelay {
		m.node.edge.overloaded.Store(true)
	}
	if result.Confirms {
		m.node.registry.Confirm(hb.Revision, result.AsOf)
	}
	m.sendAll(result.Out)
}

func (m *mesh) handlePull(p *pimmesh.Pull, from netip.AddrPort) {
	m.counts.pulls.Inc()
	chunks, err := m.outbox.Answer(m.node.clock.Now(), p, func() (pimgossip.EncodedDelta, error) {
		req := pimregistry.DeltaRequest{From: p.Since, Base: p.Base, Config: p.Config, Urgent: p.Urgent}
		if p.Urgent > 0 {
			return encodeDelta(m.node.registry.SinceUrgent(req), p.Inflates)
		}
		return encodeDelta(m.node.registry.Since(req), p.Inflates)
	})
	if err != nil {
		m.node.log.Warn().Err(err).Msg("changes for another VM not encoded")
		return
	}
	for i := range chunks {
		m.send(from, &pimmesh.Message{Chunk: &chunks[i]})
	}
}

// encodeDelta encodes a delta, and compresses it if the receiver inflates and it does not fit a chunk: the entries of a
// configuration have most of their bytes in common.
func encodeDelta(delta pimregistry.Delta, inflates bool) (e pimgossip.EncodedDelta, err error) {
	e.From, e.To, e.Urgent = delta.From, delta.To, delta.UrgentOnly
	if e.Data, err = pimmesh.Encode(&delta); err != nil {
		return e, err
	}
	if inflates && len(e.Data) > pimmesh.MaxChunk {
		e.Data, err = pimmesh.Deflate(e.Data)
		e.Deflated = true
	}
	return e, err
}

func (m *mesh) handleChunk(c *pimmesh.Chunk, from netip.AddrPort) {
	data, out := m.gossip.ReceiveChunk(m.node.clock.Now(), c, from, m.position())
	m.sendAll(out)
	if data == nil {
		return
	}
	m.counts.deltas.Inc()
	var delta pimregistry.Delta
	err := pimmesh.Decode(data, &delta)
	before := m.position()
	if err == nil {
		err = m.node.registry.Merge(delta)
	}
	if err != nil {
		m.node.log.Warn().Err(err).Msg("changes from another VM refused")
		return
	}
	after := m.position()
	if delta.UrgentOnly {
		m.handleUrgentMerged(&delta, from, after.Urgent > before.Urgent)
	} else {
		m.handleMerged(&delta, from, after.Revision > before.Revision)
	}
}

// handleUrgentMerged acts on a merged delta that held only changes of backend servers, as handleMerged does.
func (m *mesh) handleUrgentMerged(delta *pimregistry.Delta, from netip.AddrPort, isNew bool) {
	switch {
	case isNew && !delta.More:
		m.announce(false)
	case isNew:
		next := m.gossip.PullNextUrgent(m.node.clock.Now(), from, m.view())
		m.send(next.To, &next.Message)
	}
}

// handleMerged acts on a merged delta with new changes: it pulls the next part, if there is one, and announces the new
// view once all parts have arrived. The edge starts with the first part.
func (m *mesh) handleMerged(delta *pimregistry.Delta, from netip.AddrPort, isNew bool) {
	switch {
	case isNew && !delta.More:
		m.node.viewChanged()
	case isNew:
		m.node.edge.start()
		next := m.gossip.PullNext(m.node.clock.Now(), from, m.view())
		m.send(next.To, &next.Message)
	}
}
