package pimnode

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimseal"
)

// startLoops starts the periodic work of the VM.
func (n *Node) startLoops(ctx context.Context) {
	n.wg.Go(func() { n.loop(ctx) })
	n.every(ctx, slotTick, n.slots.Tick)
	n.every(ctx, quotaTick, func() { n.quota.Tick(n.clock.Now()) })
	n.every(ctx, memberTick, func() { n.sendGossip(n.members.Tick(n.clock.Now())) })
	n.every(ctx, pullInterval, func() { n.pull(ctx) })
	n.every(ctx, hostPollInterval, func() { n.pollHosts(ctx) })
	n.every(ctx, time.Minute, func() { n.owners.Sweep(n.clock.Now()) })
}

// every calls f at the interval until ctx ends.
func (n *Node) every(ctx context.Context, interval time.Duration, f func()) {
	p := periodic{interval: interval, f: f}
	n.wg.Go(func() { p.loop(ctx) })
}

// periodic is a function that is called at an interval.
type periodic struct {
	interval time.Duration
	f        func()
}

func (p *periodic) loop(ctx context.Context) {
	t := time.NewTicker(p.interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.f()
		case <-ctx.Done():
			return
		}
	}
}

// loop calls refresh at once after each change of the view, and at refreshInterval for changes of ownership and of
// terms that depend on the time.
func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-n.changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		n.refresh()
	}
}

func (n *Node) receiveGossip(g *pimpb.Gossip) {
	n.sendGossip(n.members.Receive(n.clock.Now(), g))
}

func (n *Node) sendGossip(messages []pimmember.Message) {
	for _, m := range messages {
		if err := n.gossip.Send(m.Address, m.Gossip); err != nil {
			n.log.Debug().Stringer("vm", m.To).Err(err).Msg("gossip not sent")
		}
		n.budget.Charge(n.clock.Now(), proto.Size(m.Gossip)+pimseal.Overhead)
	}
}
