package pimpeer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
)

// Handler receives the authenticated messages of other VMs, one at a time.
type Handler func(g *pimpb.Gossip)

// Gossip sends and receives sealed datagrams on one UDP socket.
type Gossip struct {
	conn          *net.UDPConn
	sealer        *Sealer
	handle        Handler
	log           zerolog.Logger
	wg            sync.WaitGroup
	set           *metrics.Set
	sent          *metrics.Counter
	sentBytes     *metrics.Counter
	received      *metrics.Counter
	receivedBytes *metrics.Counter
}

// NewGossip passes the messages that arrive on conn to handle until cleanup is called, which closes conn.
func NewGossip(conn *net.UDPConn, sealer *Sealer, handle Handler, log zerolog.Logger, set *metrics.Set) (
	g *Gossip, cleanup func(),
) {
	g = &Gossip{
		conn: conn, sealer: sealer, handle: handle, log: log, set: set,
		sent:          set.GetOrCreateCounter("pimentoyard_gossip_sent_datagrams_total"),
		sentBytes:     set.GetOrCreateCounter("pimentoyard_gossip_sent_bytes_total"),
		received:      set.GetOrCreateCounter("pimentoyard_gossip_received_datagrams_total"),
		receivedBytes: set.GetOrCreateCounter("pimentoyard_gossip_received_bytes_total"),
	}
	g.wg.Add(1)
	go g.loop()
	return g, func() {
		_ = conn.Close()
		g.wg.Wait()
	}
}

// Send seals a message and sends it to a VM; it is safe for concurrent use.
func (g *Gossip) Send(to netip.AddrPort, msg *pimpb.Gossip) (err error) {
	defer func() { err = oops.In("pimpeer").Wrapf(err, "send gossip") }()
	p, err := g.sealer.Seal(time.Now().UnixMilli(), msg)
	if err != nil {
		return err
	}
	n, err := g.conn.WriteToUDPAddrPort(p, to)
	if err != nil {
		return err
	}
	g.sent.Inc()
	g.sentBytes.Add(n)
	return nil
}

func (g *Gossip) loop() {
	defer g.wg.Done()
	buf := make([]byte, 1<<16)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Linux reports ICMP errors of earlier sends here; the socket stays usable.
			g.log.Debug().Err(err).Msg("gossip read failed")
			continue
		}
		g.receive(buf[:n], from)
	}
}

func (g *Gossip) receive(p []byte, from netip.AddrPort) {
	g.received.Inc()
	g.receivedBytes.Add(len(p))
	msg, err := g.sealer.Open(time.Now().UnixMilli(), p)
	if err != nil {
		g.set.GetOrCreateCounter(fmt.Sprintf("pimentoyard_gossip_dropped_total{reason=%q}", pimseal.Reason(err))).Inc()
		g.log.Debug().Err(err).Stringer("remote", from).Msg("gossip dropped")
		return
	}
	g.handle(msg)
}
