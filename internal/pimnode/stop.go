package pimnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// stopState is the progress of a planned stop.
type stopState struct {
	// mu makes the check for the stop and the start of a request atomic. Otherwise a request could reach the home after
	// the stop; the home would refuse it, although the successor can run it.
	mu         *sync.RWMutex
	isLeaving  *atomic.Bool
	isDraining *atomic.Bool
	// handedOver is closed when the handover has ended: the successor holds the records, or they are lost.
	handedOver chan struct{}
}

func newStopState() stopState {
	return stopState{mu: &sync.RWMutex{}, isLeaving: &atomic.Bool{}, isDraining: &atomic.Bool{}, handedOver: make(chan struct{})}
}

// leaving reports whether a planned stop has begun, so that this VM gives up its slot ownership.
func (s *stopState) leaving() bool { return s.isLeaving.Load() }

// draining reports whether this VM has stopped accepting POST requests as home VM.
func (s *stopState) draining() bool { return s.isDraining.Load() }

// drain ends the acceptance of requests.
func (s *stopState) drain(home *pimonce.Home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining.Store(true)
	home.Stop()
}

// begin records a request unless this VM has stopped accepting them. run is nil for a duplicate and for a request that
// the home refuses; their reply is sent to replies.
func (s *stopState) begin(
	home *pimonce.Home, req pimonce.Request, replies chan<- pimedge.Reply,
) (run *pimonce.Running, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.draining() {
		return nil, false
	}
	return home.Start(req, func(r pimedge.Reply) { replies <- r }), true
}

// Shutdown stops the VM gracefully: it gives up ownership, finishes the requests in flight, hands over its records to
// the successor and continues to forward and relay for lingerTime, until the fabric no longer sends packets to it. It
// fails if the records could not be handed over. The clean-up function of New must be called afterwards.
func (n *Node) Shutdown(ctx context.Context) (err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "stop vm %d", n.self.Node) }()
	n.stop.isLeaving.Store(true)
	n.sendGossip(n.members.Leave(n.clock.Now(), 0, 0))
	n.notifyChange()
	n.stop.drain(n.home)
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(n.cfg.Drain.Timeout))
	defer cancel()
	if err = n.home.Drain(drainCtx); err != nil {
		n.log.Warn().Err(err).Msg("requests still run at the end of the drain time")
	}
	// The handover has a time limit of its own: a request that outlasts the drain time must not prevent the transfer of
	// the records of the other requests.
	handoverCtx, cancelHandover := context.WithTimeout(ctx, handoverTimeout)
	defer cancelHandover()
	err = n.handOver(handoverCtx)
	close(n.stop.handedOver)
	pimclock.Sleep(ctx, lingerTime)
	n.awaitRequests(drainCtx)
	n.sendGossip(n.members.Left(n.clock.Now()))
	return err
}

// awaitRequests waits until this VM runs and relays no request, or ctx ends.
func (n *Node) awaitRequests(ctx context.Context) {
	for n.serving.Load() > 0 {
		if !pimclock.Sleep(ctx, memberTick) {
			n.log.Warn().Int64("requests", n.serving.Load()).Msg("requests still run at the end of the drain time")
			return
		}
	}
}

// handOver sends the records to the successor and announces the successor. Without a successor, later duplicates are
// answered with the outcome unknown.
func (n *Node) handOver(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "hand over records") }()
	node, inc, ok := n.members.Successor()
	if !ok {
		return nil
	}
	batches, err := n.home.Export(pimonce.HomeID{Node: node, Incarnation: inc})
	if err != nil {
		return err
	}
	peer, err := n.peer(ctx, node)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if _, err = peer.Handover(ctx, handoverRequest(b)); err != nil {
			return err
		}
	}
	n.router.Stop(pimroute.Home{Node: node, Incarnation: inc})
	n.sendGossip(n.members.Leave(n.clock.Now(), node, inc))
	n.log.Info().Stringer("successor", node).Int("batches", len(batches)).Msg("records handed over")
	return nil
}

// serveAfterHandover waits for the end of the handover and routes the packet again.
func (n *Node) serveAfterHandover(
	ctx context.Context, p *pimedge.Packet, contract pimid.ContractID, deadline pimclock.Instant,
) pimedge.Reply {
	ctx, cancel := n.withDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-n.stop.handedOver:
	case <-ctx.Done():
		return n.unknownAfterStop(contract)
	}
	// The timeout is reduced to the time that is left: the successor must not run the request after the caller's
	// deadline.
	rerouted := *p
	rerouted.Timeout = deadline.Sub(n.clock.Now())
	p = &rerouted
	if rerouted.Timeout <= 0 {
		return n.unknownAfterStop(contract)
	}
	var a pimroute.Action
	n.router.Route(n.clock.Now(), n.unixNow(), p, &a)
	switch a.Kind {
	case pimroute.Relay:
		return n.relay(ctx, p, &a)
	case pimroute.Reply:
		n.countReply(&a, p)
		return a.Reply
	default:
		return n.unknownAfterStop(contract)
	}
}

// unknownAfterStop counts and answers a request that no successor can run before the deadline: the records of this VM
// have not reached one, or too late. The outcome is unknown, since an earlier copy of the request may have run.
func (n *Node) unknownAfterStop(contract pimid.ContractID) pimedge.Reply {
	n.ledger.Account(contract).Admit().Unknown()
	return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonDraining}
}
