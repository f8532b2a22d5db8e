package pimpeer

import (
	"context"
	"net/netip"
	"time"

	"storj.io/drpc/drpcpool"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	// idleConns limits the idle connections to all peers; a VM calls up to 380 peers of its data centre.
	idleConns = 1024
	// idleConnsPerPeer limits the idle connections to one peer; a drpc connection carries one call at a time.
	idleConnsPerPeer = 8
	idleTimeout      = 30 * time.Second
	dialTimeout      = 2 * time.Second
)

type poolKey struct {
	node    pimid.NodeID
	address netip.AddrPort
}

// Pool makes drpc calls to other VMs and keeps idle connections; it is safe for concurrent use.
type Pool struct {
	creds *Credentials
	conns *drpcpool.Pool[poolKey, drpcpool.Conn]
	// clock also advances while the VM is suspended.
	clock pimclock.Clock
}

// NewPool returns a pool; cleanup closes the idle connections.
func NewPool(creds *Credentials) (p *Pool, cleanup func()) {
	p = &Pool{creds: creds, clock: pimclock.Boot{}, conns: drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: idleConns, KeyCapacity: idleConnsPerPeer,
	})}
	return p, func() { _ = p.conns.Close() }
}

// Peer returns a client for one VM; it dials when a call finds no idle connection. A call fails if the VM at the
// address has another ID.
func (p *Pool) Peer(ctx context.Context, node pimid.NodeID, address netip.AddrPort) pimpb.DRPCPeerClient {
	return pimpb.NewDRPCPeerClient(p.conns.Get(ctx, poolKey{node: node, address: address}, p.dial))
}

func (p *Pool) dial(ctx context.Context, key poolKey) (drpcpool.Conn, error) {
	c := &conn{pool: p, key: key}
	if err := c.dial(ctx); err != nil {
		return nil, err
	}
	return c, nil
}
