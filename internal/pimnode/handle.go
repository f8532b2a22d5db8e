package pimnode

import (
	"context"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// handle routes one packet of a caller and executes the action that the router chose.
func (n *Node) handle(ctx context.Context, p *pimedge.Packet, r pimudp.Responder) {
	var a pimroute.Action
	n.router.Route(n.clock.Now(), n.unixNow(), p, &a)
	var err error
	switch {
	case a.Kind == pimroute.Forward:
		err = r.Forward(p, a.Address)
	case a.Kind == pimroute.Relay && p.Kind == pimedge.KindFlow:
		err = n.startFlowRelay(ctx, p, &a, r)
	case a.Kind == pimroute.Reply:
		n.countReply(&a, p)
		err = r.Reply(a.Reply)
	default:
		err = r.Reply(n.serveTraced(ctx, p, &a))
	}
	if err != nil {
		n.log.Debug().Stringer("rule", a.Rule).Err(err).Msg("packet not forwarded or answered")
	}
}

// serveTraced runs or relays a request of a caller in a span of its own.
func (n *Node) serveTraced(ctx context.Context, p *pimedge.Packet, a *pimroute.Action) pimedge.Reply {
	ctx, span := n.trace.Start(ctx, pimtrace.HopEdge)
	defer span.End()
	reply := n.serve(ctx, p, a)
	d := n.traceDecision(a)
	d.Outcome, d.Reason = reply.Outcome, reply.Reason
	span.Decide(d)
	return reply
}

// traceDecision returns what the router decided, for the span of the hop.
func (n *Node) traceDecision(a *pimroute.Action) pimtrace.Decision {
	share := n.store.View().Contracts[a.Contract].Terms.GuaranteedSlots
	return pimtrace.Decision{
		Contract: a.Contract, Share: share, Rule: a.Rule.String(), Reason: a.Reply.Reason,
		Outcome: a.Reply.Outcome, Revision: a.Revision,
	}
}

// serve runs a request here or relays it to another VM.
func (n *Node) serve(ctx context.Context, p *pimedge.Packet, a *pimroute.Action) pimedge.Reply {
	n.serving.Add(1)
	defer n.serving.Add(-1)
	if a.Kind == pimroute.Relay {
		return n.relay(ctx, p, a)
	}
	if p.Kind == pimedge.KindPost {
		return n.servePost(ctx, p, a)
	}
	return n.serveGet(ctx, p, a)
}

// flowRelay is a flow packet that is relayed through a VM with a newer view.
type flowRelay struct {
	n         *Node
	packet    *pimedge.Packet
	to        pimid.NodeID
	contract  pimid.ContractID
	responder pimudp.Responder
}

// startFlowRelay relays a flow packet without blocking the read loop. It tells the caller to retry later if
// maxFlowRelays packets wait already, since each relay holds its packet until an unresponsive peer times out.
func (n *Node) startFlowRelay(ctx context.Context, p *pimedge.Packet, a *pimroute.Action, r pimudp.Responder) error {
	if n.flowRelays.Add(1) > maxFlowRelays {
		n.flowRelays.Add(-1)
		return r.Reply(pimedge.Reply{
			Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonViewBehind, RetryAfter: viewBehindRetryAfter,
		})
	}
	f := flowRelay{n: n, packet: p.Clone(), to: a.Node, contract: a.Contract, responder: r.Retain()}
	n.wg.Go(func() {
		defer n.flowRelays.Add(-1)
		f.run(ctx)
	})
	return nil
}

// run relays the packet, which the other VM forwards, and sends a refusal of that VM to the caller.
func (f *flowRelay) run(ctx context.Context) {
	reply, err := f.n.callRelay(ctx, f.packet, f.to, f.contract, callTimeout)
	if err != nil {
		reply = pimedge.Reply{
			Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonViewBehind, RetryAfter: viewBehindRetryAfter,
		}
	}
	if reply.Outcome == "" {
		return
	}
	if err = f.responder.Reply(reply); err != nil {
		f.n.log.Debug().Err(err).Msg("reply not sent")
	}
}

// countReply accounts for requests that the router answered, so that they do not run. A reply that only gives the
// caller a new token does not count as offered work.
func (n *Node) countReply(a *pimroute.Action, p *pimedge.Packet) {
	if p.Kind == pimedge.KindFlow || a.Contract == 0 || a.Reply.Reason == pimedge.ReasonNoToken {
		return
	}
	account := n.ledger.Account(a.Contract)
	if a.Reply.Outcome == pimedge.OutcomeUnknown {
		account.Admit().Unknown()
		return
	}
	account.Refuse(pimledger.Reason(a.Reply.Reason))
}
