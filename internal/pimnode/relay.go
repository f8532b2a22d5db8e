package pimnode

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// relay sends a request to another VM, which serves it. Without an answer, a POST request may have run there, so its
// outcome is unknown; an idempotent one is answered as not run, since the caller may safely send it again.
func (n *Node) relay(ctx context.Context, p *pimedge.Packet, a *pimroute.Action) pimedge.Reply {
	deadline := n.deadline(p, a.Contract)
	reply, err := n.callRelay(ctx, p, a.Node, a.Contract, deadline.Sub(n.clock.Now())+relayGrace)
	switch {
	case err != nil:
	case n.mayBeHeldElsewhere(p, a, reply):
		return n.searchHolder(ctx, p, a, deadline, reply)
	default:
		return reply
	}
	n.log.Debug().Stringer("vm", a.Node).Err(err).Msg("relay not answered")
	ticket := n.ledger.Account(a.Contract).Admit()
	if p.Kind == pimedge.KindGet {
		ticket.NotRun(pimledger.Reason(pimedge.ReasonViewBehind))
		return pimedge.Reply{
			Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonViewBehind, RetryAfter: viewBehindRetryAfter,
		}
	}
	ticket.Unknown()
	return pimedge.Reply{
		Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonHomeLost, Token: n.freshToken(p, a),
	}
}

// freshToken returns a token for later requests, so that they do not depend on an unreachable home VM. It returns nil
// for the token of a flow, which the caller must keep, since the flow would be lost with it.
func (n *Node) freshToken(p *pimedge.Packet, a *pimroute.Action) []byte {
	if a.Token.Flags&pimtoken.FlagFlow != 0 {
		return nil
	}
	var tokenOffer pimroute.Action
	n.router.Route(n.clock.Now(), n.unixNow(), &pimedge.Packet{
		Kind: pimedge.KindPost, Service: p.Service, Source: p.Source, Hops: p.Hops, Contract: a.Contract,
	}, &tokenOffer)
	return tokenOffer.Reply.Token
}

func (n *Node) callRelay(
	ctx context.Context, p *pimedge.Packet, to pimid.NodeID, contract pimid.ContractID, timeout time.Duration,
) (reply pimedge.Reply, err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "relay packet to vm %d", to) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer, err := n.peer(ctx, to)
	if err != nil {
		return reply, err
	}
	req := relayRequest(p, contract, timeout-relayGrace)
	req.Traceparent = pimtrace.Traceparent(ctx)
	out, err := peer.Relay(ctx, req)
	if err != nil {
		return reply, err
	}
	return pimedge.Reply{
		Outcome: outcomeFromProto(out.GetOutcome()), Reason: pimedge.Reason(out.GetReason()),
		RetryAfter: time.Duration(out.GetRetryAfterNs()), Status: int(out.GetStatus()), Body: out.GetBody(),
		Token: out.GetToken(),
	}, nil
}

func relayRequest(p *pimedge.Packet, contract pimid.ContractID, timeout time.Duration) *pimpb.RelayRequest {
	req := &pimpb.RelayRequest{
		Kind: uint32(p.Kind), Observe: p.Observe, Service: uint32(p.Service), Contract: uint32(contract),
		Token: p.Token, RequestTag: uint64(p.Tag), HasTag: p.HasTag, Path: p.Path, Body: p.Body,
		TimeoutNs: int64(timeout), Hops: uint32(p.Hops) + 1, Source: p.Source.String(),
	}
	if p.Kind == pimedge.KindFlow {
		req.Raw, req.Body = p.Raw, nil
	}
	return req
}

// relayedPacket returns the packet that another VM relayed; that VM has looked up the contract of the source.
func relayedPacket(req *pimpb.RelayRequest) (p *pimedge.Packet, err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "read relayed packet") }()
	source, err := netip.ParseAddrPort(req.GetSource())
	if err != nil {
		return nil, err
	}
	return &pimedge.Packet{
		Kind: pimedge.Kind(req.GetKind()), Observe: req.GetObserve(), Hops: uint8(min(req.GetHops(), maxRelayHops)),
		Contract: pimid.ContractID(req.GetContract()), Service: pimid.ServiceID(req.GetService()), Source: source,
		Token: req.GetToken(), Tag: pimid.RequestTag(req.GetRequestTag()), HasTag: req.GetHasTag(),
		Path: req.GetPath(), Timeout: time.Duration(req.GetTimeoutNs()), Body: req.GetBody(), Raw: req.GetRaw(),
	}, nil
}

// maxRelayHops bounds the hop count that is read from a message, so that it fits into 8 bits; the router itself relays
// a packet far fewer times.
const maxRelayHops = 100
