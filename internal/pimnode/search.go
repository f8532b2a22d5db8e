package pimnode

import (
	"context"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// maxSearch bounds the VMs that are asked for the records of one token, besides the one that was asked first.
const maxSearch = 8

// searchHolder relays a request to other VMs, one after the other, if the home VM of its token may have stopped before
// this VM started and the VM that was asked first does not hold the records; first is the reply of that VM. This is
// safe, since only the holder of the records runs the request, and it does so once.
func (n *Node) searchHolder(
	ctx context.Context, p *pimedge.Packet, a *pimroute.Action, deadline pimclock.Instant, first pimedge.Reply,
) pimedge.Reply {
	for _, id := range n.searchOrder(a.Node) {
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

// reachable returns the VMs of a data centre that may hold records, in order of id. A VM that is leaving is included,
// since it waits for the end of its handover and then relays requests to its successor.
func (n *Node) reachable(dataCentre pimid.DataCentre) []pimid.NodeID {
	var ids []pimid.NodeID
	for _, m := range n.members.All() {
		if m.DataCentre == dataCentre && (m.State == pimmember.Alive || m.State == pimmember.Leaving) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// searchOrder returns up to maxSearch other reachable VMs of the data centre. The VM that was asked first is added as
// the last one, since a handover to it may have ended meanwhile.
func (n *Node) searchOrder(first pimid.NodeID) []pimid.NodeID {
	ids := slices.DeleteFunc(n.reachable(n.cfg.Node.DataCentre), func(id pimid.NodeID) bool {
		return id == n.self.Node || id == first
	})
	return append(ids[:min(len(ids), maxSearch)], first)
}

// mayBeHeldElsewhere reports whether another VM may hold the records of the token of a relayed POST request, although
// the VM that was asked does not.
func (n *Node) mayBeHeldElsewhere(p *pimedge.Packet, a *pimroute.Action, reply pimedge.Reply) bool {
	return p.Hops == 0 && p.Kind == pimedge.KindPost && isHomeLost(reply) && a.Rule == pimroute.RuleSuccessorRelay &&
		n.uptime() <= pimtoken.PermitLifetime
}

func isHomeLost(r pimedge.Reply) bool {
	return r.Outcome == pimedge.OutcomeUnknown && r.Reason == pimedge.ReasonHomeLost
}
