package pimnode

import (
	"context"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// maxSearch bounds the VMs that are asked for the records of one token.
const maxSearch = 8

// searchHolder asks other VMs for the records of a token whose home VM ended before this VM started. The first one that
// was asked does not hold them. Only the holder runs a request, and it does so once.
func (n *Node) searchHolder(
	ctx context.Context, p *pimedge.Packet, a *pimroute.Action, deadline pimclock.Instant, first pimedge.Reply,
) pimedge.Reply {
	asked := map[pimid.NodeID]bool{n.self.Node: true, a.Node: true}
	for _, id := range n.members.Live(n.cfg.Node.DataCentre) {
		if asked[id] || id == a.Token.Home || len(asked) > maxSearch {
			continue
		}
		asked[id] = true
		reply, err := n.callRelay(ctx, p, id, a.Contract, deadline.Sub(n.clock.Now())+relayGrace)
		if err != nil {
			return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonHomeLost}
		}
		if !isHomeLost(reply) {
			return reply
		}
	}
	return first
}

// mayBeHeldElsewhere reports whether the reply to a relayed POST leaves open which VM holds the records of its token.
func (n *Node) mayBeHeldElsewhere(p *pimedge.Packet, a *pimroute.Action, reply pimedge.Reply) bool {
	return p.Hops == 0 && p.Kind == pimedge.KindPost && isHomeLost(reply) && a.Node != a.Token.Home &&
		n.uptime() <= pimtoken.PermitLifetime
}

func isHomeLost(r pimedge.Reply) bool {
	return r.Outcome == pimedge.OutcomeUnknown && r.Reason == pimedge.ReasonHomeLost
}
