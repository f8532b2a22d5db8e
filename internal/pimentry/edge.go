package pimentry

import (
	"cmp"
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimlog"
)

// hostPrefixBytes is the space in front of a packet for the id of its backend server; see pimpacket.Codec.AppendHostID.
const hostPrefixBytes = 8

// receiveBufferBytes is the size of the socket buffer, which holds the packets that arrive before the VM has its first
// view after a start.
const receiveBufferBytes = 1 << 20

// maxPacketBytes is larger than any packet of the platform.
const maxPacketBytes = 2048

// edge forwards the packets of callers. Its loop is the only goroutine that uses the flow table, the observer and the
// placer.
type edge struct {
	node     *Node
	conn     *net.UDPConn
	table    *pimflow.Table
	observer *observer
	placer   *pimplace.Placer
	// unresponsive holds the backend servers that do not answer any VM and whose waiting flows were reset.
	unresponsive map[pimcatalog.HostID]bool
	// slowStart is nil if backend servers in slow start have no limit.
	slowStart *slowStart
	counters  edgeCounters
	flows     *flowCounters
	// shares is the last result of pimplace.Placer.Shares, for the status.
	shares       atomic.Pointer[[]pimplace.ServiceShare]
	once         sync.Once
	wg           sync.WaitGroup
	buf          [hostPrefixBytes + maxPacketBytes]byte
	resetBuf     []byte
	reportedAt   pimclock.Instant
	summarisedAt pimclock.Instant
	// overloaded is set when a delayed heartbeat shows that this VM does not keep up with its packets.
	overloaded atomic.Bool
	// lines bounds the rate of log lines about flows.
	lines *pimlog.Bucket
	// explains are the requests for explanations, which the loop answers between packets.
	explains explainRequests
}

func newEdge(n *Node, conn *net.UDPConn, obs *observer, placer *pimplace.Placer) *edge {
	e := &edge{
		node: n, conn: conn, table: obs.table, observer: obs, placer: placer, counters: newEdgeCounters(n.set),
		flows:        newFlowCounters(n.set, n.cfg.Node.DataCentre),
		unresponsive: map[pimcatalog.HostID]bool{}, lines: pimlog.NewBucket(lineBurst, linesPerSecond),
		explains: newExplainRequests(),
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		n.log.Warn().Err(err).Msg("receive buffer not set")
	}
	return e
}

// start begins to read packets. It is called with each new view, even if parts of it are missing; only the first call has
// an effect.
func (e *edge) start() {
	e.once.Do(func() {
		c := e.node.registry.Catalog()
		withRevision(e.node.log.Info(), c.Revision).Int("hosts", len(c.Published())).Int("unpublished", len(c.Unpublished())).Msg("first view")
		e.wg.Go(e.loop)
	})
}

func (e *edge) close() {
	// A loop that has not been started yet must not be started after close.
	e.once.Do(func() {})
	if err := e.conn.Close(); err != nil {
		e.node.log.Debug().Err(err).Msg("close packet socket")
	}
	e.wg.Wait()
}

// maxReadWait bounds the wait for a packet, since pimflow.Table.Expire must run at least every 100 ms to detect packets
// without an answer.
const maxReadWait = 100 * time.Millisecond

// minIdleWait is how long a read must have waited to show that the socket was empty.
const minIdleWait = 200 * time.Microsecond

// overloadAfter is how long the loop reads without finding the socket empty before the VM counts as overloaded: packets
// have then been queued for so long that it is unknown when they arrived.
const overloadAfter = 30 * time.Millisecond

func (e *edge) loop() {
	lastIdle := e.node.clock.Now()
	for {
		readStart := e.node.clock.Now()
		if err := e.conn.SetReadDeadline(time.Now().Add(maxReadWait)); err != nil {
			return
		}
		n, _, err := e.conn.ReadFromUDPAddrPort(e.buf[hostPrefixBytes:])
		now := e.node.clock.Now()
		if now.Sub(readStart) >= minIdleWait {
			lastIdle = now
		}
		if now.Sub(lastIdle) > overloadAfter || e.overloaded.Swap(false) {
			e.table.RecordOverload(now)
		}
		e.table.Expire(now)
		e.handleSuspicions(now)
		e.publishReports(now)
		e.answerExplain(now)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			e.counters.readErrors.Inc()
		default:
			e.handle(now, e.buf[:hostPrefixBytes+n])
		}
	}
}

// handle forwards, drops or resets one packet, which follows hostPrefixBytes of space for the id of its backend server.
func (e *edge) handle(now pimclock.Instant, framed []byte) {
	datagram := framed[hostPrefixBytes:]
	codec := e.node.platform.Codec
	p, err := codec.Decode(datagram)
	if err != nil {
		e.counters.malformed.Inc()
		return
	}
	view := e.view(now)
	verdict := pimsteer.Steer(now, view, e.placer, &p)
	e.counters.verdicts[verdict.Reason].Inc()
	e.flows.count(&verdict)
	e.logVerdict(now, view, &p, verdict)
	switch verdict.Action {
	case pimsteer.Forward:
		if p.IsOpen() {
			codec.SetTag(datagram, verdict.Host.Tag())
			e.table.RecordOpening(now, &p, verdict.Host.ID)
			e.slowStart.record(now, view.Catalog, verdict.Host)
		} else {
			e.table.RecordForwarded(now, &p, verdict.Host.ID)
		}
		e.forward(framed, verdict.Host)
	case pimsteer.Reset:
		e.sendReset(&p)
	case pimsteer.Drop:
	}
}

// view returns what is known at an instant. The catalog is loaded last, so that it is complete as of AsOf.
func (e *edge) view(now pimclock.Instant) pimsteer.View {
	v := pimsteer.View{
		Fresh: e.node.registry.Fresh(now), Settled: e.node.registry.Settled(now), AsOf: now.Add(-e.node.registry.Age(now)),
		FirstSeen: func(p *pimpacket.Packet) pimclock.Instant { return e.table.FirstSeen(now, p) },
	}
	catalog := e.node.registry.Catalog()
	v.Catalog = catalog
	v.Unresponsive = func(id pimcatalog.HostID) bool {
		return len(e.unresponsive) > 0 && e.placer.IsUnresponsive(now, catalog, id)
	}
	return v
}

// handleSuspicions logs the packets without an answer and checks whether their backend servers are unresponsive, so that
// callers that wait for one are reset and can try another one.
func (e *edge) handleSuspicions(now pimclock.Instant) {
	suspicions := e.table.Suspicions()
	for _, s := range suspicions {
		e.node.log.Info().Str("cause", string(s.Cause)).Int("misses", s.Misses).Str("host", e.hostName(s.Host)).
			Msg("backend server does not answer")
	}
	if len(suspicions) > 0 {
		e.updateUnresponsive(now)
	}
}

// updateUnresponsive resets the waiting flows of each backend server that has become unresponsive. One that no longer
// counts as unresponsive gets packets again.
func (e *edge) updateUnresponsive(now pimclock.Instant) {
	catalog := e.node.registry.Catalog()
	for _, h := range catalog.Hosts() {
		switch isUnresponsive := e.placer.IsUnresponsive(now, catalog, h.ID); {
		case isUnresponsive == e.unresponsive[h.ID]:
		case !isUnresponsive:
			delete(e.unresponsive, h.ID)
			e.node.log.Info().Str("host", h.Name).Msg("backend server is tried again")
		default:
			e.unresponsive[h.ID] = true
			waiting := e.table.Abandon(now, h.ID)
			for _, w := range waiting {
				e.sendReset(&pimpacket.Packet{Flow: w.Flow, Acked: w.Acked})
			}
			e.node.log.Warn().Str("host", h.Name).Int("flows_reset", len(waiting)).Msg("backend server answers nobody")
		}
	}
}

func (e *edge) hostName(id pimcatalog.HostID) string {
	if h := e.node.registry.Catalog().Host(id.Tag()); h != nil {
		return h.Name
	}
	return "unknown"
}

// reportInterval is the time between two updates of the loads that heartbeats report to the other VMs.
const reportInterval = 200 * time.Millisecond

// publishReports passes the loads that this VM has observed to the mesh and takes over those that the other VMs have
// reported. It also removes backend servers without flows that have left the catalog from the flow table, and checks again
// which ones are unresponsive, since that changes with time and with the reports.
func (e *edge) publishReports(now pimclock.Instant) {
	if now.Sub(e.reportedAt) < reportInterval {
		return
	}
	e.reportedAt = now
	e.slowStart.update(now)
	reports := e.table.Report(now)
	e.node.mesh.reports.Store(&reports)
	e.table.Prune(now, e.node.registry.Catalog())
	e.observer.setPeerLoads(now, e.node.mesh.gossip.Loads(now))
	e.observer.remote = e.node.mesh.gossip.RemoteLoads(now)
	shares := e.placer.Shares(now)
	e.shares.Store(&shares)
	e.placer.SetVMs(e.node.mesh.gossip.Names(now))
	e.placer.SetReported(e.node.mesh.gossip.HasAllLoads(now))
	e.summarise(now)
	e.updateUnresponsive(now)
}

// summaryInterval is the time between two summaries of the load of this data centre.
const summaryInterval = time.Second

// summarise passes the load of the services in this data centre to the mesh if this VM sends it to the other data centres. The
// services with the fewest requests are left out if there are too many: those with many requests may need the others.
func (e *edge) summarise(now pimclock.Instant) {
	if now.Sub(e.summarisedAt) < summaryInterval {
		return
	}
	e.summarisedAt = now
	if !e.node.mesh.gossip.SendsSummaries(now) {
		e.node.mesh.services.Store(nil)
		return
	}
	const hundredths = 100
	var services []pimmesh.ServiceLoad
	home := e.node.cfg.Node.DataCentre
	for service, d := range e.placer.Summarise(now, e.node.registry.Catalog()) {
		services = append(services, pimmesh.ServiceLoad{
			DataCentre: home, Service: service, Hosts: d.Hosts, Busy: int(hundredths * d.PerSlot),
		})
	}
	slices.SortFunc(services, func(a, b pimmesh.ServiceLoad) int {
		return cmp.Or(cmp.Compare(b.Busy*b.Hosts, a.Busy*a.Hosts), cmp.Compare(a.Service, b.Service))
	})
	e.node.mesh.services.Store(&serviceLoads{loads: services, at: now})
}

func (e *edge) forward(framed []byte, h *pimcatalog.Host) {
	e.node.platform.Codec.AppendHostID(framed[:0], h.ID)
	e.send(framed, h.Address)
}

func (e *edge) sendReset(p *pimpacket.Packet) {
	e.resetBuf = e.node.platform.Codec.AppendReset(e.resetBuf[:0], p)
	port := e.node.cfg.Edge.PacketAddress.Port()
	e.send(e.resetBuf, netip.AddrPortFrom(p.Flow.Caller.Addr(), port))
}

func (e *edge) send(datagram []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		e.counters.sendErrors.Inc()
		e.node.log.Debug().Err(err).Stringer("to", to).Msg("packet not sent")
	}
}
