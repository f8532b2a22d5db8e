package pimnode

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// RateLimitError means that the hard limit of the contract is reached; RetryAfter is the time after which to retry.
type RateLimitError struct{ RetryAfter time.Duration }

// Error returns the refusal with the time after which to retry.
func (e *RateLimitError) Error() string {
	return "rate limit reached, retry after " + e.RetryAfter.String()
}

// Refusal implements pimonce.Refuser.
func (e *RateLimitError) Refusal() (pimedge.Reason, time.Duration) {
	return pimedge.ReasonRateLimit, e.RetryAfter
}

// admit takes one rate-limit permit of the contract. If there is none, it waits up to permitWait, or up to
// extendedPermitWait while the pool owner does not answer or still solicits shares, and then fails with RateLimitError.
func (n *Node) admit(ctx context.Context, w pimonce.Work) (err error) {
	defer func() { err = oops.In("pimnode").Wrapf(err, "admit request of contract %d", w.Contract) }()
	now := n.clock.Now()
	wait := pimquota.WaitLimit{
		Deadline: min(w.Deadline, now.Add(permitWait)), ExtendedDeadline: min(w.Deadline, now.Add(extendedPermitWait)),
	}
	if ok, retryAfter := n.quota.Await(ctx, now, wait, w.Contract, 1); !ok {
		return &RateLimitError{RetryAfter: retryAfter}
	}
	return nil
}

// sendQuota sends a request for rate-limit permits to a pool owner without blocking the pool.
func (n *Node) sendQuota(to pimid.NodeID, req *pimpb.BorrowQuotaRequest) {
	c := quotaCall{n: n, to: to, req: req}
	n.wg.Go(c.run)
}

// quotaCall is one request for rate-limit permits. A lost call needs no handling, since a lent share returns when
// its lease ends.
type quotaCall struct {
	n   *Node
	to  pimid.NodeID
	req *pimpb.BorrowQuotaRequest
}

func (c *quotaCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	peer, err := c.n.peer(ctx, c.to)
	if err != nil {
		return
	}
	reply, err := peer.BorrowQuota(ctx, c.req)
	if err != nil {
		c.n.log.Debug().Stringer("vm", c.to).Err(err).Msg("quota not borrowed")
		return
	}
	c.n.quota.Deliver(c.n.clock.Now(), c.to, reply)
}
