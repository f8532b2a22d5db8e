package pimnode

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfollow"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimpeer"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimplatform"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// ErrNoConfiguration means that no configuration arrived from the platform or a peer before the start was cancelled.
var ErrNoConfiguration = errors.New("no configuration from the platform or a peer")

// startPeers opens the gossip socket and the drpc listener on the peer address.
func (n *Node) startPeers(ctx context.Context) (err error) {
	secret, err := n.cfg.Cluster.Load()
	if err != nil {
		return err
	}
	creds, err := pimpeer.NewCredentials(secret, pimpeer.Identity(n.self))
	if err != nil {
		return err
	}
	pool, closePool := pimpeer.NewPool(creds)
	n.peers = pool
	n.addCleanup(closePool)
	if err = n.startPeerServer(ctx, creds); err != nil {
		return err
	}
	return n.startGossip(creds)
}

func (n *Node) startPeerServer(ctx context.Context, creds *pimpeer.Credentials) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.cfg.Node.PeerAddress.String())
	if err != nil {
		return err
	}
	_, cleanup, err := pimpeer.NewServer(ctx, ln, creds, &peerServer{n: n}, n.log, n.set)
	if err != nil {
		return err
	}
	n.addCleanup(cleanup)
	return nil
}

func (n *Node) startGossip(creds *pimpeer.Credentials) error {
	sealer, err := pimpeer.NewSealer(creds)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.cfg.Node.PeerAddress))
	if err != nil {
		return err
	}
	// A message may arrive before NewGossip returns. Its handler waits until n.gossip is set, since it sends the answer
	// through n.gossip.
	ready := make(chan struct{})
	receive := func(g *pimpb.Gossip) {
		<-ready
		n.receiveGossip(g)
	}
	g, cleanup := pimpeer.NewGossip(conn, sealer, receive, n.log, n.set)
	n.gossip = g
	close(ready)
	n.addCleanup(cleanup)
	return nil
}

// startPlatforms starts a follower for every replica of the platform. A follower reads its replica only while this VM is
// a reader.
func (n *Node) startPlatforms(ctx context.Context) error {
	for _, url := range n.cfg.Platform.URLs {
		client, cleanup, err := pimplatform.New(pimplatform.Settings{
			Address: url, Timeout: time.Duration(n.cfg.Platform.Timeout),
			WatchTimeout: time.Duration(n.cfg.Platform.PollTimeout),
		})
		if err != nil {
			return err
		}
		n.addCleanup(cleanup)
		backoff := pimfollow.NewBackoff(100*time.Millisecond, 5*time.Second, n.rng)
		_, stop := pimfollow.New(ctx, pimfollow.Config[pimconfig.Batch, pimconfig.Snapshot]{
			Source: client, Sink: n.store, Enabled: n.isReader, Changed: n.notifyChange, Backoff: backoff, Log: n.log,
		})
		n.addCleanup(stop)
	}
	return nil
}

// awaitView waits until the first configuration has arrived.
func (n *Node) awaitView(ctx context.Context) error {
	for n.store.Revision() == 0 {
		if !pimclock.Sleep(ctx, memberTick) {
			return ErrNoConfiguration
		}
	}
	return nil
}

// awaitPeers waits until all listed VMs of the data centre are known, for at most startPeerWait, so that this VM
// recognises the tokens of live home VMs.
func (n *Node) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startPeerWait)
	defer cancel()
	for !n.peersKnown() {
		if !pimclock.Sleep(ctx, memberTick) {
			return
		}
	}
}

// peersKnown reports whether the incarnation of every other listed VM of the data centre is known. This includes VMs
// that are leaving, since their successors accept their tokens.
func (n *Node) peersKnown() bool {
	for _, v := range n.store.View().Nodes {
		if v.ID == n.self.Node || v.DataCentre != n.cfg.Node.DataCentre {
			continue
		}
		if m, ok := n.members.Member(v.ID); !ok || m.Incarnation == 0 {
			return false
		}
	}
	return true
}

func (n *Node) startEdge() error {
	server, cleanup, err := pimudp.Listen(pimudp.Config{
		Services: n.edgeServices(n.store.View()), Handler: n.handle, Overload: n.refuseOverload,
		MaxRequests: n.cfg.Limits.RequestsInFlight, Log: n.log,
	})
	if err != nil {
		return err
	}
	n.edge.Store(server)
	n.addCleanup(cleanup)
	n.log.Info().Int("services", len(n.store.View().Services)).Msg("serving callers")
	return nil
}

func (n *Node) edgeServices(view *pimview.View) []pimudp.Service {
	services := make([]pimudp.Service, 0, len(view.Services))
	for _, s := range view.Services {
		listen := s.Address
		if s.EdgePort != 0 {
			listen = netip.AddrPortFrom(n.cfg.Node.PeerAddress.Addr(), s.EdgePort)
		}
		services = append(services, pimudp.Service{ID: s.ID, Listen: listen, Address: s.Address})
	}
	return services
}

func (n *Node) seeds() []pimview.Node {
	seeds := make([]pimview.Node, 0, len(n.cfg.Peers))
	for _, p := range n.cfg.Peers {
		seeds = append(seeds, pimview.Node{
			ID: p.ID, DataCentre: p.DataCentre, PeerAddress: p.PeerAddress, State: pimview.NodeLive,
		})
	}
	return seeds
}

// staticKeys returns the token keys of the settings, which the settings package has validated.
func (n *Node) staticKeys() []pimtoken.Key {
	keys := make([]pimtoken.Key, 0, len(n.cfg.Keys))
	for _, k := range n.cfg.Keys {
		secret, err := k.Bytes()
		if err != nil {
			n.log.Error().Uint8("key", k.ID).Err(err).Msg("static token key refused")
			continue
		}
		keys = append(keys, pimtoken.Key{ID: k.ID, Secret: secret})
	}
	return keys
}

// refuseOverload counts and answers a request that exceeds the number of requests that this VM handles at once.
func (n *Node) refuseOverload(p *pimedge.Packet) pimedge.Reply {
	n.set.GetOrCreateCounter("pimentoyard_overload_refusals_total").Inc()
	// Without a valid token, the packet would only have been answered with a new token, which does not count as offered
	// work.
	e := n.router.Explain(n.clock.Now(), n.unixNow(), p)
	if e.Contract != 0 && e.Action == pimroute.Execute.String() {
		n.ledger.Account(e.Contract).Refuse(pimledger.Reason(pimedge.ReasonOverload))
	}
	return pimedge.Reply{
		Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonOverload, RetryAfter: time.Second,
	}
}
