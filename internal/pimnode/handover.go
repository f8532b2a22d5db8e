package pimnode

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimpeer"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxSuccessors bounds the number of planned stops that are followed from one home to the current holder of its
// records; only a few stops fit into pimtoken.PermitLifetime, for which a token permits POST requests.
const maxSuccessors = 8

// mayHandOver reports whether the sender may hand over the records of a home: its own, or those that it took over,
// directly or through other VMs. A VM that started after a stop cannot know the successor, so a sender that is not in
// the known chain of successors is rejected only if the last VM of the chain is known to serve, and therefore keeps its
// records, or if the chain has maxSuccessors stops or more.
func (n *Node) mayHandOver(sender pimpeer.Identity, home pimonce.HomeID) bool {
	holder := home
	for range maxSuccessors {
		if holder == pimonce.HomeID(sender) {
			return true
		}
		node, inc, ok := n.members.SuccessorOf(holder.Node, holder.Incarnation)
		if !ok {
			return !n.isServing(holder)
		}
		holder = pimonce.HomeID{Node: node, Incarnation: inc}
	}
	return false
}

// isServing reports whether this incarnation of a VM accepts requests, as far as this VM knows.
func (n *Node) isServing(home pimonce.HomeID) bool {
	if home == pimonce.HomeID(n.self) {
		return !n.stop.draining()
	}
	m, ok := n.members.Member(home.Node)
	return ok && m.Incarnation == home.Incarnation && m.State == pimmember.Alive
}

func handoverRequest(b pimonce.Batch) *pimpb.HandoverRequest {
	req := &pimpb.HandoverRequest{
		Node: uint32(b.Home.Node), Incarnation: uint64(b.Home.Incarnation), Last: b.Last,
	}
	for _, r := range b.Records {
		req.Records = append(req.Records, &pimpb.RequestRecord{
			Flow: uint64(r.Flow), RequestTag: uint64(r.Tag), Outcome: outcomeToProto(r.Reply.Outcome),
			Reason: string(r.Reply.Reason), Status: uint32(r.Reply.Status), Body: r.Reply.Body, KeepNs: int64(r.Keep),
		})
	}
	return req
}

func recordFromProto(r *pimpb.RequestRecord) pimonce.Record {
	return pimonce.Record{
		Key: pimonce.Key{Flow: pimid.FlowID(r.GetFlow()), Tag: pimid.RequestTag(r.GetRequestTag())},
		Reply: pimedge.Reply{
			Outcome: outcomeFromProto(r.GetOutcome()), Reason: pimedge.Reason(r.GetReason()),
			Status: int(r.GetStatus()), Body: r.GetBody(),
		},
		Keep: time.Duration(r.GetKeepNs()),
	}
}
