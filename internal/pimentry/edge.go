package pimentry

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimlog"
)

// hostPrefixBytes is the room in front of a packet for the number of its backend server.
const hostPrefixBytes = 8

// receiveBuffer holds the packets that arrive until the VM has read the configuration after its start, in bytes.
const receiveBuffer = 1 << 20

// maxPacket is larger than any packet of the platform, in bytes.
const maxPacket = 2048

// edge forwards the packets of callers; its loop is the only user of the decisions.
type edge struct {
	node     *Node
	conn     *net.UDPConn
	table    *pimflow.Table
	observer *observer
	placer   *pimplace.Placer
	// dark holds the backend servers whose flows were abandoned.
	dark     map[pimcatalog.HostID]bool
	counters edgeCounters
	once     sync.Once
	wg       sync.WaitGroup
	buf      [hostPrefixBytes + maxPacket]byte
	reset    []byte
	reported pimclock.Instant
	// lagged is set when a message of another VM shows that this one does not keep up.
	lagged atomic.Bool
	// lines bounds the log lines about flows.
	lines *pimlog.Bucket
}

func newEdge(n *Node, conn *net.UDPConn, view *observer, placer *pimplace.Placer) *edge {
	e := &edge{
		node: n, conn: conn, table: view.table, observer: view, placer: placer, counters: newEdgeCounters(n.set),
		dark: map[pimcatalog.HostID]bool{}, lines: pimlog.NewBucket(lineBurst, linesPerSecond),
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		n.log.Warn().Err(err).Msg("receive buffer not set")
	}
	return e
}

// start begins to read packets; the first complete view calls it.
func (e *edge) start() {
	e.once.Do(func() {
		c := e.node.registry.Catalog()
		e.node.log.Info().Uint64("revision", uint64(c.Revision)).Int("hosts", len(c.Hosts())).Msg("first view")
		e.wg.Go(e.loop)
	})
}

func (e *edge) close() {
	// The loop that has not started yet must not start afterwards.
	e.once.Do(func() {})
	if err := e.conn.Close(); err != nil {
		e.node.log.Debug().Err(err).Msg("close packet socket")
	}
	e.wg.Wait()
}

// wakeEvery is the longest time without a look at packets that have had no answer.
const wakeEvery = 100 * time.Millisecond

// pauseAtLeast is how long a read must have waited to show that no packet was there.
const pauseAtLeast = 200 * time.Microsecond

// busyAfter is the time without a pause after which packets have waited for too long to tell when they arrived.
const busyAfter = 30 * time.Millisecond

func (e *edge) loop() {
	idle := e.node.clock.Now()
	for {
		asked := e.node.clock.Now()
		if err := e.conn.SetReadDeadline(time.Now().Add(wakeEvery)); err != nil {
			return
		}
		n, _, err := e.conn.ReadFromUDPAddrPort(e.buf[hostPrefixBytes:])
		now := e.node.clock.Now()
		if now.Sub(asked) >= pauseAtLeast {
			idle = now
		}
		if now.Sub(idle) > busyAfter || e.lagged.Swap(false) {
			e.table.RecordOverload(now)
		}
		e.table.Expire(now)
		e.suspect(now)
		e.report(now)
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

// handle decides about one packet, which follows the room for the prefix.
func (e *edge) handle(now pimclock.Instant, framed []byte) {
	datagram := framed[hostPrefixBytes:]
	codec := e.node.platform.Codec
	p, err := codec.Decode(datagram)
	if err != nil {
		e.counters.malformed.Inc()
		return
	}
	catalog := e.node.registry.Catalog()
	view := pimsteer.View{
		Catalog: catalog, Fresh: e.node.registry.Fresh(now), Settled: e.node.registry.Settled(now),
		AsOf:         now.Add(-e.node.registry.Age(now)),
		Unresponsive: func(id pimcatalog.HostID) bool { return len(e.dark) > 0 && e.placer.IsUnresponsive(now, catalog, id) },
	}
	verdict := pimsteer.Steer(now, view, e.placer, &p)
	e.counters.verdicts[verdict.Reason].Inc()
	e.logVerdict(now, view, &p, verdict)
	switch verdict.Action {
	case pimsteer.Forward:
		if p.IsOpen() {
			codec.SetTag(datagram, verdict.Host.Tag())
			e.table.RecordOpening(now, &p, verdict.Host.ID)
		} else {
			e.table.RecordForwarded(now, &p, verdict.Host.ID)
		}
		e.forward(framed, verdict.Host)
	case pimsteer.Reset:
		e.sendReset(&p)
	case pimsteer.Drop:
	}
}

// suspect acts on packets without an answer: callers that wait for a backend server that answers nobody are told to try
// elsewhere.
func (e *edge) suspect(now pimclock.Instant) {
	suspicions := e.table.Suspicions()
	for _, s := range suspicions {
		e.node.log.Info().Str("cause", string(s.Cause)).Int("misses", s.Misses).Str("host", e.hostName(s.Host)).
			Msg("backend server does not answer")
	}
	if len(suspicions) > 0 {
		e.abandon(now)
	}
}

// abandon resets the waiting flows of each backend server that has become dark.
func (e *edge) abandon(now pimclock.Instant) {
	catalog := e.node.registry.Catalog()
	for _, h := range catalog.Hosts() {
		switch dark := e.placer.IsUnresponsive(now, catalog, h.ID); {
		case dark == e.dark[h.ID]:
		case !dark:
			delete(e.dark, h.ID)
			e.node.log.Info().Str("host", h.Name).Msg("backend server is tried again")
		default:
			e.dark[h.ID] = true
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

// reportEvery is the time between two reports to the other VMs.
const reportEvery = 200 * time.Millisecond

// report publishes what is seen of the backend servers.
func (e *edge) report(now pimclock.Instant) {
	if now.Sub(e.reported) < reportEvery {
		return
	}
	e.reported = now
	reports := e.table.Report(now)
	e.node.mesh.reports.Store(&reports)
	e.observer.elsewhere = e.node.mesh.gossip.Loads(now)
	e.table.Prune(e.node.registry.Catalog())
	e.abandon(now)
}

func (e *edge) forward(framed []byte, h *pimcatalog.Host) {
	e.node.platform.Codec.AppendHostID(framed[:0], h.ID)
	e.send(framed, h.Address)
}

func (e *edge) sendReset(p *pimpacket.Packet) {
	e.reset = e.node.platform.Codec.AppendReset(e.reset[:0], p)
	port := e.node.cfg.Edge.PacketAddress.Port()
	e.send(e.reset, netip.AddrPortFrom(p.Flow.Caller.Addr(), port))
}

func (e *edge) send(datagram []byte, to netip.AddrPort) {
	if _, err := e.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		e.counters.sendErrors.Inc()
		e.node.log.Debug().Err(err).Stringer("to", to).Msg("packet not sent")
	}
}
