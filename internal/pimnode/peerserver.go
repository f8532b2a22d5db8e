package pimnode

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimpeer"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ErrWrongSender means that a call names another VM than the one that made it, or, for a handover, a VM whose records
// the sender may not hand over.
var ErrWrongSender = errors.New("call names another VM than its sender")

// peerServer answers the calls of other VMs.
type peerServer struct{ n *Node }

// Relay routes a packet that another VM received from a caller or a third VM.
func (s *peerServer) Relay(ctx context.Context, req *pimpb.RelayRequest) (*pimpb.RelayReply, error) {
	p, err := relayedPacket(req)
	if err != nil {
		return nil, err
	}
	n := s.n
	ctx, span := n.trace.StartRemote(ctx, pimtrace.HopRelay, req.GetTraceparent())
	defer span.End()
	var a pimroute.Action
	n.router.Route(n.clock.Now(), n.unixNow(), p, &a)
	span.Decide(n.traceDecision(&a))
	switch {
	case a.Kind == pimroute.Forward:
		return &pimpb.RelayReply{}, n.forwardRelayed(p, &a)
	case a.Kind == pimroute.Reply:
		n.countReply(&a, p)
		return replyToProto(a.Reply), nil
	case p.Kind == pimedge.KindFlow:
		return replyToProto(pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonViewBehind}), nil
	default:
		return replyToProto(n.serve(ctx, p, &a)), nil
	}
}

// forwardRelayed forwards a relayed flow packet to its backend server through the service socket of this VM.
func (n *Node) forwardRelayed(p *pimedge.Packet, a *pimroute.Action) error {
	edge := n.edge.Load()
	if edge == nil {
		return pimudp.ErrNoService
	}
	return edge.Forward(p, a.Address)
}

func replyToProto(r pimedge.Reply) *pimpb.RelayReply {
	return &pimpb.RelayReply{
		Outcome: outcomeToProto(r.Outcome), Reason: string(r.Reason), RetryAfterNs: int64(r.RetryAfter),
		Status: uint32(r.Status), Body: r.Body, Token: r.Token,
	}
}

// AcquireSlot waits for a slot of a backend server that this VM owns.
func (s *peerServer) AcquireSlot(ctx context.Context, req *pimpb.AcquireSlotRequest) (*pimpb.AcquireSlotReply, error) {
	n := s.n
	ctx, span := n.trace.StartRemote(ctx, pimtrace.HopSlot, req.GetTraceparent())
	defer span.End()
	now := n.clock.Now()
	r := pimslot.SlotRequest{
		Service: pimid.ServiceID(req.GetService()), Contract: pimid.ContractID(req.GetContract()),
		Deadline: now.Add(min(time.Duration(req.GetTimeoutNs()), maxTimeout)),
	}
	for _, id := range req.GetExclude() {
		r.Exclude = append(r.Exclude, pimid.BackendID(id))
	}
	g, err := n.acquireOwned(ctx, r)
	var refusal *pimslot.RefusalError
	if errors.As(err, &refusal) {
		return &pimpb.AcquireSlotReply{
			Refusal: string(refusal.Reason), RetryAfterNs: int64(refusal.RetryAfter),
			EstimatedWaitNs: int64(refusal.Wait),
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return &pimpb.AcquireSlotReply{
		GrantId: uint64(g.ID), Backend: uint32(g.Backend), Generation: uint32(g.Generation),
		ExpiresInNs: int64(g.ExpiresAt.Sub(now)), EstimatedWaitNs: int64(g.Wait),
		OwnerIncarnation: uint64(n.self.Incarnation),
	}, nil
}

// ReleaseSlot releases a slot that this VM granted. A grant that has expired, or that an earlier incarnation gave, is
// not an error.
func (s *peerServer) ReleaseSlot(_ context.Context, req *pimpb.ReleaseSlotRequest) (*pimpb.ReleaseSlotReply, error) {
	if req.GetOwnerIncarnation() != uint64(s.n.self.Incarnation) {
		return &pimpb.ReleaseSlotReply{}, nil
	}
	err := s.n.slots.Release(pimslot.GrantID(req.GetGrantId()), pimslot.Result{
		Outcome: outcomeFromProto(req.GetOutcome()), Shed: req.GetShed(), NoProgress: req.GetNoProgress(),
		ShedFor: time.Duration(req.GetShedForNs()), Duration: time.Duration(req.GetDurationNs()),
	})
	if err != nil && !errors.Is(err, pimslot.ErrUnknownGrant) {
		return nil, err
	}
	return &pimpb.ReleaseSlotReply{}, nil
}

// Handover imports records that a stopping VM hands over.
func (s *peerServer) Handover(ctx context.Context, req *pimpb.HandoverRequest) (reply *pimpb.HandoverReply, err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "import handover") }()
	home := pimonce.HomeID{
		Node: pimid.NodeID(req.GetNode()), Incarnation: pimid.Incarnation(req.GetIncarnation()),
	}
	sender, ok := pimpeer.PeerOf(ctx)
	if !ok || !s.n.mayHandOver(sender, home) {
		return nil, ErrWrongSender
	}
	batch := pimonce.Batch{Home: home, Last: req.GetLast()}
	for _, r := range req.GetRecords() {
		batch.Records = append(batch.Records, recordFromProto(r))
	}
	if err = s.n.home.Import(batch); err != nil {
		return nil, err
	}
	return &pimpb.HandoverReply{Accepted: true}, nil
}

// BorrowQuota answers a request for rate-limit permits as pool owner; the sender must be the VM that the request names.
func (s *peerServer) BorrowQuota(ctx context.Context, req *pimpb.BorrowQuotaRequest) (*pimpb.BorrowQuotaReply, error) {
	sender, ok := pimpeer.PeerOf(ctx)
	if !ok || uint32(sender.Node) != req.GetNode() || uint64(sender.Incarnation) != req.GetIncarnation() {
		return nil, ErrWrongSender
	}
	return s.n.quota.Borrow(s.n.clock.Now(), req), nil
}

// Ping answers at once.
func (s *peerServer) Ping(context.Context, *pimpb.PingRequest) (*pimpb.PingReply, error) {
	return &pimpb.PingReply{}, nil
}

// PullConfig returns the part of this VM's configuration that the request asks for.
func (s *peerServer) PullConfig(_ context.Context, req *pimpb.PullConfigRequest) (*pimpb.PullConfigReply, error) {
	return s.n.pullServer.Pull(s.n.clock.Now(), s.n.rng, req), nil
}
