package pimnode

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimhttp"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// servePost runs a non-idempotent request as home VM. If this VM is stopping, it waits for the end of the handover and
// routes the packet again, so that the successor runs it.
func (n *Node) servePost(ctx context.Context, p *pimedge.Packet, a *pimroute.Action) pimedge.Reply {
	deadline := n.deadline(p, a.Contract)
	t := &a.Token
	req := pimonce.Request{
		Key:  pimonce.Key{Flow: t.Flow, Tag: p.Tag},
		Home: pimonce.HomeID{Node: t.Home, Incarnation: t.HomeIncarnation}, Service: p.Service,
		Contract: a.Contract, IssuedAt: t.IssuedAt, Deadline: deadline,
	}
	replies := make(chan pimedge.Reply, 1)
	run, ok := n.stop.begin(n.home, req, replies)
	if !ok {
		return n.serveAfterHandover(ctx, p, a.Contract, deadline)
	}
	ctx, detach := n.detached(ctx)
	defer detach()
	ctx, cancel := n.withDeadline(ctx, deadline)
	defer cancel()
	reply := n.executeOrAwait(ctx, run, replies, p, a, deadline)
	reply.Token = a.Reply.Token
	return reply
}

// executeOrAwait executes a request if it is the first copy (run is set). Otherwise it waits for the reply: a duplicate
// gets that of the first copy, a request that the home refuses gets the refusal.
func (n *Node) executeOrAwait(
	ctx context.Context, run *pimonce.Running, replies <-chan pimedge.Reply, p *pimedge.Packet, a *pimroute.Action,
	deadline pimclock.Instant,
) (reply pimedge.Reply) {
	if run != nil {
		// The deferred call finishes the record even if the execution panics.
		defer func() { reply = run.Finish(reply) }()
		return n.execute(ctx, p, a, deadline, run)
	}
	select {
	case reply = <-replies:
		n.countHomeRefusal(a.Contract, reply)
		return reply
	case <-ctx.Done():
		return pimedge.Reply{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}
	}
}

// detached returns a context that is not cancelled with ctx, so that a request continues if the VM that relayed it
// fails: the caller sends it again through another VM and gets its reply. The context ends when this VM is closed.
func (n *Node) detached(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(n.runCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// countHomeRefusal accounts for a request that pimonce.Home refused. Replies with other reasons are those of the first
// copy of a duplicate, which is accounted for already.
func (n *Node) countHomeRefusal(contract pimid.ContractID, reply pimedge.Reply) {
	switch reply.Reason {
	case pimedge.ReasonOverload, pimedge.ReasonDraining, pimedge.ReasonHomeLost, pimedge.ReasonExpired:
	default:
		return
	}
	account := n.ledger.Account(contract)
	if reply.Outcome == pimedge.OutcomeNotRun {
		account.Refuse(pimledger.Reason(reply.Reason))
		return
	}
	account.Admit().Unknown()
}

// serveGet runs an idempotent request.
func (n *Node) serveGet(ctx context.Context, p *pimedge.Packet, a *pimroute.Action) pimedge.Reply {
	deadline := n.deadline(p, a.Contract)
	ctx, cancel := n.withDeadline(ctx, deadline)
	defer cancel()
	reply := n.execute(ctx, p, a, deadline, pimonce.Untracked{})
	reply.Token = a.Reply.Token
	return reply
}

// execute admits a request, runs it on a backend server and accounts for it.
func (n *Node) execute(
	ctx context.Context, p *pimedge.Packet, a *pimroute.Action, deadline pimclock.Instant, tracker pimonce.SendTracker,
) pimedge.Reply {
	ticket := n.ledger.Account(a.Contract).Admit()
	w := pimonce.Work{
		Service: p.Service, Contract: a.Contract, Deadline: deadline, Idempotent: p.Kind == pimedge.KindGet,
	}
	method := http.MethodPost
	if w.Idempotent {
		method = http.MethodGet
	}
	send := func(ctx context.Context, s pimonce.Slot) pimonce.SendResult {
		return n.sendRequest(ctx, s, method, p, a.Contract, deadline)
	}
	reply := n.executor.Execute(ctx, w, tracker, send)
	recordOutcome(ticket, reply)
	return reply
}

// recordOutcome ends the ticket of a request with its outcome.
func recordOutcome(t *pimledger.Ticket, reply pimedge.Reply) {
	switch reply.Outcome {
	case pimedge.OutcomeAnswered:
		t.Answered()
	case pimedge.OutcomeFailed:
		t.Failed()
	case pimedge.OutcomeNotRun:
		t.NotRun(pimledger.Reason(reply.Reason))
	default:
		t.Unknown()
	}
}

// sendRequest sends a request to the backend server of a slot, unless the view contains another generation of it, or no
// longer lists it for the service.
func (n *Node) sendRequest(
	ctx context.Context, s pimonce.Slot, method string, p *pimedge.Packet, contract pimid.ContractID,
	deadline pimclock.Instant,
) pimonce.SendResult {
	b, ok := n.store.View().Backends[s.Backend]
	if !ok || b.Generation != s.Generation || b.Service != p.Service {
		return pimonce.SendResult{
			Reply: pimedge.Reply{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonBackendGone},
		}
	}
	ctx, span := n.trace.Start(ctx, pimtrace.HopBackend)
	defer span.End()
	res := n.backends.Do(ctx, b, method, p.Path, p.Body, deadline)
	span.Decide(pimtrace.Decision{
		Contract: contract, Reason: res.Reason, Outcome: res.Outcome, Revision: n.store.Revision(),
	})
	n.observe(b, res)
	return pimonce.SendResult{
		Reply: pimedge.Reply{
			Outcome: res.Outcome, Reason: res.Reason, RetryAfter: res.RetryAfter, Status: res.Status, Body: res.Body,
		},
		Shed: res.Shed, NoProgress: res.NoProgress, Duration: res.Duration,
	}
}

// observe records whether the backend server could be reached; a shed request counts as reached. Other failures say
// nothing about this and are not recorded.
func (n *Node) observe(b pimview.Backend, res pimhttp.Result) {
	ok := res.Outcome == pimedge.OutcomeAnswered || res.Shed
	if !ok && !res.NotSent && !res.NoProgress {
		return
	}
	n.hosts.Observe(n.clock.Now(), b.ID, ok)
}

// deadline returns the deadline by the caller's timeout, the default timeout of the contract or defaultTimeout, with
// maxTimeout as the upper bound.
func (n *Node) deadline(p *pimedge.Packet, contract pimid.ContractID) pimclock.Instant {
	timeout := p.Timeout
	if timeout <= 0 {
		timeout = time.Duration(n.store.View().Contracts[contract].DefaultTimeout)
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return n.clock.Now().Add(min(timeout, maxTimeout))
}

func (n *Node) withDeadline(ctx context.Context, deadline pimclock.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline.Sub(n.clock.Now()))
}
