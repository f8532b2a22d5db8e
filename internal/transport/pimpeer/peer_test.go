package pimpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const testSecret = "0123456789abcdef-test"

func sealer(tb testing.TB, secret string, node pimid.NodeID, inc pimid.Incarnation) *Sealer {
	tb.Helper()
	c, err := NewCredentials([]byte(secret), Identity{Node: node, Incarnation: inc})
	if err != nil {
		tb.Fatal(err)
	}
	s, err := NewSealer(c)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// echo answers PullConfig with the verified identity of the caller; with block set, each call waits for a value.
type echo struct {
	pimpb.DRPCPeerUnimplementedServer
	block chan struct{}
}

func (e *echo) PullConfig(ctx context.Context, _ *pimpb.PullConfigRequest) (*pimpb.PullConfigReply, error) {
	id, ok := PeerOf(ctx)
	if !ok {
		return nil, errors.New("no identity")
	}
	if e.block != nil {
		select {
		case <-e.block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &pimpb.PullConfigReply{Revision: uint64(id.Node)<<32 | uint64(id.Incarnation)}, nil
}

func serve(t *testing.T, secret string, node pimid.NodeID, impl pimpb.DRPCPeerServer) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	creds, err := NewCredentials([]byte(secret), Identity{Node: node, Incarnation: 1})
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, cleanup, err := NewServer(t.Context(), ln, creds, impl, zerolog.Nop(), metrics.NewSet())
	is.NoErr(err)
	t.Cleanup(cleanup)
	return netip.MustParseAddrPort(s.Addr().String())
}

func pool(t *testing.T, secret string, node pimid.NodeID) *Pool {
	t.Helper()
	creds, err := NewCredentials([]byte(secret), Identity{Node: node, Incarnation: 9})
	if err != nil {
		t.Fatal(err)
	}
	p, cleanup := NewPool(creds)
	t.Cleanup(cleanup)
	return p
}

// Guards against calls in which either side is not verified.
func TestCallsCarryVerifiedIdentity(t *testing.T) {
	for name, tc := range map[string]struct {
		secret string
		want   pimid.NodeID
		ok     bool
	}{
		"right":        {testSecret, 1, true},
		"wrong secret": {"another-secret-0123", 1, false},
		"wrong vm":     {testSecret, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, testSecret, 1, &echo{})
			reply, err := pool(t, tc.secret, 2).Peer(t.Context(), tc.want, address).
				PullConfig(t.Context(), &pimpb.PullConfigRequest{})
			is.Equal(err == nil, tc.ok)
			if tc.ok {
				is.Equal(reply.GetRevision(), uint64(2)<<32|9)
			}
			if name == "wrong vm" {
				var wrong *WrongPeerError
				is.True(errors.As(err, &wrong))
				is.Equal(wrong.Got.Node, pimid.NodeID(1))
			}
		})
	}
}

// Guards against calls to one VM that wait for each other: a drpc connection carries one call at a time, so each
// concurrent call needs its own.
func TestCallsRunConcurrently(t *testing.T) {
	is := is.New(t)
	const calls = 16
	impl := &echo{block: make(chan struct{})}
	address := serve(t, testSecret, 1, impl)
	p := pool(t, testSecret, 2)
	errs := make(chan error, calls)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := p.Peer(t.Context(), 1, address).PullConfig(t.Context(), &pimpb.PullConfigRequest{})
			errs <- err
		})
	}
	for range calls {
		impl.block <- struct{}{} // each call must arrive while the others wait
	}
	wg.Wait()
	for range calls {
		is.NoErr(<-errs)
	}
}

// Guards against a secret that can be guessed.
func TestShortSecretIsRefused(t *testing.T) {
	_, err := NewCredentials([]byte("short"), Identity{})
	is.New(t).True(errors.Is(err, pimseal.ErrSecret))
}

// Guards against datagrams that are lost between socket and handler, or dropped without being counted.
func TestGossipOverLoopback(t *testing.T) {
	is := is.New(t)
	set, got := metrics.NewSet(), make(chan *pimpb.Gossip, 1)
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		is.NoErr(err)
		return c
	}
	to := listen()
	_, cleanup := NewGossip(to, sealer(t, testSecret, 1, 1), func(g *pimpb.Gossip) { got <- g }, zerolog.Nop(), set)
	from, cleanupFrom := NewGossip(listen(), sealer(t, testSecret, 2, 1), func(*pimpb.Gossip) {}, zerolog.Nop(), set)
	t.Cleanup(cleanupFrom)
	target := to.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := from.conn.WriteToUDPAddrPort([]byte("not sealed"), target)
	is.NoErr(err)
	is.NoErr(from.Send(target, &pimpb.Gossip{Sequence: 5}))
	g := <-got // loopback keeps the order, so the bad datagram has been handled
	is.Equal(g.GetSequence(), uint64(5))
	is.Equal(g.GetSender(), uint32(2))
	is.Equal(set.GetOrCreateCounter(`pimentoyard_gossip_dropped_total{reason="truncated"}`).Get(), uint64(1))
	big := &pimpb.Gossip{Config: &pimpb.ConfigDigest{Hash: make([]byte, pimseal.MaxDatagram)}}
	is.True(errors.Is(from.Send(target, big), pimseal.ErrTooLarge))
	cleanup()
}
