package pimpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const (
	// softCancelGrace limits the wait of a soft cancel for a message that is being sent.
	softCancelGrace = 5 * time.Millisecond
	// verifyAfter is the time without a received byte after which a connection is verified before its next call.
	verifyAfter = time.Second
	// pingTimeout is how long a verification waits; it exceeds the round trip between two regions.
	pingTimeout = 250 * time.Millisecond
)

// conn is a drpc connection to another VM, which carries one call at a time. It may go silent without a reset, and a call on it would
// hang until its deadline. So a connection from which nothing has arrived for verifyAfter, because it was not used or its last call had
// no answer, is used again only if a ping is answered, and replaced otherwise.
type conn struct {
	*drpcconn.Conn
	pool      *Pool
	key       poolKey
	transport *transport
}

// dial opens the connection, in place of an earlier one if there is any.
func (c *conn) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", c.key.address.String())
	if err != nil {
		return err
	}
	c.transport = &transport{Conn: raw, clock: c.pool.clock}
	encrypted := tls.Client(c.transport, c.pool.creds.clientConfig(c.key.node))
	if err := encrypted.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return err
	}
	// A soft cancel keeps the connection usable; a hard cancel would cost a handshake for each cancelled call.
	c.Conn = drpcconn.NewWithOptions(encrypted, drpcconn.Options{
		Manager: drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace},
	})
	return nil
}

// Invoke makes a call on a connection that works.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if err := c.verify(ctx); err != nil {
		return err
	}
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream opens a stream on a connection that works.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if err := c.verify(ctx); err != nil {
		return nil, err
	}
	return c.Conn.NewStream(ctx, rpc, enc)
}

// verify replaces the connection if it has gone silent.
func (c *conn) verify(ctx context.Context) error {
	if c.pool.clock.Now().Sub(c.transport.lastReceived()) < verifyAfter || c.ping(ctx) {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	_ = c.Close()
	return c.dial(ctx)
}

// ping reports whether the other VM answers. An error is an answer too: a VM of an earlier version does not know the call.
func (c *conn) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	before := c.transport.received.Load()
	_, _ = pimpb.NewDRPCPeerClient(c.Conn).Ping(ctx, &pimpb.PingRequest{})
	select {
	case <-c.Closed():
		return false
	default:
		return c.transport.received.Load() != before
	}
}

// transport counts what arrives on a connection, and records when.
type transport struct {
	net.Conn
	clock    pimclock.Clock
	received atomic.Int64
	readAt   atomic.Int64
}

// Read records the time of the last received byte.
func (t *transport) Read(b []byte) (n int, err error) {
	if n, err = t.Conn.Read(b); n > 0 {
		t.readAt.Store(int64(t.clock.Now()))
		t.received.Add(int64(n))
	}
	return n, err
}

func (t *transport) lastReceived() pimclock.Instant { return pimclock.Instant(t.readAt.Load()) }
