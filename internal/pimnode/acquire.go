package pimnode

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// ErrNoPeer means that the address of a VM is not known.
var ErrNoPeer = errors.New("VM is not known")

// acquire gets a slot of the service from a slot owner. While no owner grants or refuses one, because none can be
// reached or owns a usable backend server, it retries until ctx ends: the membership may name other owners, and no
// backend server has received the request yet.
func (n *Node) acquire(ctx context.Context, w pimonce.Work, exclude []pimid.BackendID) (s pimonce.Slot, err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "acquire slot of service %d", w.Service) }()
	for {
		if s, err = n.tryOwners(ctx, w, exclude); err == nil || isRefusal(err) {
			return s, err
		}
		if !pimclock.Sleep(ctx, ownerRetryDelay) {
			return s, err
		}
	}
}

// isRefusal reports whether a slot owner has refused the request, so that a retry would not help now.
func isRefusal(err error) bool {
	var refusal *pimslot.RefusalError
	return errors.As(err, &refusal)
}

// tryOwners asks up to maxOwnerTries slot owners and returns the first slot that one of them grants.
func (n *Node) tryOwners(ctx context.Context, w pimonce.Work, exclude []pimid.BackendID) (s pimonce.Slot, err error) {
	candidates := n.topology.Load().candidates(w.Service)
	var tried []pimid.NodeID
	for range maxOwnerTries {
		owner, pickErr := n.owners.Pick(n.clock.Now(), w.Contract, candidates, tried, n.rng)
		if pickErr != nil {
			return s, errors.Join(err, pickErr)
		}
		tried = append(tried, owner)
		if s, err = n.acquireFrom(ctx, owner, w, exclude); err == nil {
			return s, nil
		}
		n.owners.Done(owner, w.Contract)
		if ctx.Err() != nil {
			return s, err
		}
	}
	return s, err
}

func (n *Node) acquireFrom(
	ctx context.Context, owner pimid.NodeID, w pimonce.Work, exclude []pimid.BackendID,
) (pimonce.Slot, error) {
	if owner == n.self.Node {
		return n.acquireLocal(ctx, w, exclude)
	}
	return n.acquireRemote(ctx, owner, w, exclude)
}

func (n *Node) acquireLocal(ctx context.Context, w pimonce.Work, exclude []pimid.BackendID) (s pimonce.Slot, err error) {
	g, err := n.acquireOwned(ctx, pimslot.SlotRequest{
		Service: w.Service, Contract: w.Contract, Deadline: w.Deadline, Exclude: exclude,
	})
	if err != nil {
		n.observeRefusal(n.self.Node, w.Contract, err)
		return s, err
	}
	n.owners.Observe(n.clock.Now(), n.self.Node, w.Contract, g.Wait)
	release := func(r pimonce.SendResult) {
		n.owners.Done(n.self.Node, w.Contract)
		if err := n.slots.Release(g.ID, slotResult(r)); err != nil {
			n.log.Debug().Err(err).Msg("slot grant expired before its release")
		}
	}
	return pimonce.Slot{Backend: g.Backend, Generation: g.Generation, ExpiresAt: g.ExpiresAt, Release: release}, nil
}

func (n *Node) acquireRemote(
	ctx context.Context, owner pimid.NodeID, w pimonce.Work, exclude []pimid.BackendID,
) (s pimonce.Slot, err error) {
	sentAt := n.clock.Now()
	req := &pimpb.AcquireSlotRequest{
		Service: uint32(w.Service), Contract: uint32(w.Contract), TimeoutNs: int64(w.Deadline.Sub(sentAt)),
		Traceparent: pimtrace.Traceparent(ctx),
	}
	for _, id := range exclude {
		req.Exclude = append(req.Exclude, uint32(id))
	}
	peer, err := n.peer(ctx, owner)
	if err != nil {
		return s, err
	}
	reply, err := peer.AcquireSlot(ctx, req)
	if err != nil {
		n.owners.Fail(n.clock.Now(), owner, w.Contract, ownerBackoff)
		return s, err
	}
	n.owners.Observe(n.clock.Now(), owner, w.Contract, time.Duration(reply.GetEstimatedWaitNs()))
	if reply.GetRefusal() != "" {
		return s, &pimslot.RefusalError{
			Reason:     pimedge.Reason(reply.GetRefusal()),
			RetryAfter: time.Duration(reply.GetRetryAfterNs()), Wait: time.Duration(reply.GetEstimatedWaitNs()),
		}
	}
	return pimonce.Slot{
		Backend: pimid.BackendID(reply.GetBackend()), Generation: pimid.Generation(reply.GetGeneration()),
		// Counted from the time at which the request was sent, the grant ends here no later than at its owner.
		ExpiresAt: sentAt.Add(time.Duration(reply.GetExpiresInNs())),
		Release:   n.remoteRelease(owner, reply, w.Contract),
	}, nil
}

// remoteRelease returns the function that releases a slot at its owner; it does not wait for the call.
func (n *Node) remoteRelease(
	owner pimid.NodeID, grant *pimpb.AcquireSlotReply, contract pimid.ContractID,
) func(pimonce.SendResult) {
	return func(r pimonce.SendResult) {
		n.owners.Done(owner, contract)
		req := &pimpb.ReleaseSlotRequest{
			GrantId: grant.GetGrantId(), OwnerIncarnation: grant.GetOwnerIncarnation(), Outcome: outcomeToProto(r.Reply.Outcome), Shed: r.Shed, NoProgress: r.NoProgress,
			DurationNs: int64(r.Duration), ShedForNs: int64(r.Reply.RetryAfter),
		}
		call := releaseCall{n: n, owner: owner, contract: contract, req: req}
		n.wg.Go(call.run)
	}
}

// releaseCall releases one slot at its owner. A lost call needs no handling, since the grant expires.
type releaseCall struct {
	n        *Node
	owner    pimid.NodeID
	contract pimid.ContractID
	req      *pimpb.ReleaseSlotRequest
}

func (c *releaseCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	peer, err := c.n.peer(ctx, c.owner)
	if err != nil {
		return
	}
	reply, err := peer.ReleaseSlot(ctx, c.req)
	if err != nil {
		c.n.log.Debug().Stringer("vm", c.owner).Err(err).Msg("slot not released")
		return
	}
	wait := time.Duration(reply.GetEstimatedWaitNs())
	c.n.owners.Observe(c.n.clock.Now(), c.owner, c.contract, wait)
}

// observeRefusal records the estimated wait at the owner if err is a refusal; other errors contain none.
func (n *Node) observeRefusal(owner pimid.NodeID, contract pimid.ContractID, err error) {
	var refusal *pimslot.RefusalError
	if errors.As(err, &refusal) {
		n.owners.Observe(n.clock.Now(), owner, contract, refusal.Wait)
	}
}

// peer returns a client for calls to a VM; it fails with ErrNoPeer if the address of the VM is not known.
func (n *Node) peer(ctx context.Context, id pimid.NodeID) (pimpb.DRPCPeerClient, error) {
	m, ok := n.members.Member(id)
	if !ok {
		return nil, ErrNoPeer
	}
	return n.peers.Peer(ctx, id, m.Address), nil
}

func slotResult(r pimonce.SendResult) pimslot.Result {
	return pimslot.Result{
		Outcome: r.Reply.Outcome, Shed: r.Shed, ShedFor: r.Reply.RetryAfter,
		NoProgress: r.NoProgress, Duration: r.Duration,
	}
}
