package pimcaller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// tokenAttempts is the number of attempts with a token for an idempotent request, and the number of token offers that
// are accepted while a flow is opened.
const tokenAttempts = 3

// noObserve marks a request without the Observe option.
const noObserve = -1

// Post sends a non-idempotent request. The outcome is NotRun only if no datagram with a token was sent or a VM states
// it.
func (c *Caller) Post(ctx context.Context, path string, body []byte) Result {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	r := &request{code: codes.POST, path: path, observe: noObserve}
	echo, failure := c.token(ctx, r)
	if failure != nil {
		return *failure
	}
	r.echo, r.tag, r.hasTag, r.body = echo, c.tag.Add(1), true, body
	r.timeout = timeLeft(ctx)
	resp, sent, err := c.exchange(ctx, r)
	if err != nil {
		return exchangeFailure(err, sent)
	}
	c.tokens.set(resp.echo)
	res := resp.result()
	res.Sent = sent
	if resp.offersToken() {
		// A retransmission of the datagram may have reached a VM that accepts the token, so the request must not be
		// sent under a new one.
		res.Outcome = Unknown
	}
	return res
}

// Get sends an idempotent request; it is retried with a new token if a VM asks for one.
func (c *Caller) Get(ctx context.Context, path string) Result {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	sentTotal := 0
	for range tokenAttempts {
		r := &request{code: codes.GET, path: path, observe: noObserve}
		echo, failure := c.token(ctx, r)
		if failure != nil {
			return *failure
		}
		r.echo, r.timeout = echo, timeLeft(ctx)
		resp, sent, err := c.exchange(ctx, r)
		sentTotal += sent
		if err != nil {
			return exchangeFailure(err, sentTotal)
		}
		c.tokens.set(resp.echo)
		if !resp.offersToken() {
			res := resp.result()
			res.Sent = sentTotal
			return res
		}
	}
	return Result{Outcome: Unknown, Reason: ReasonNoToken, Sent: sentTotal}
}

func (c *Caller) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.Timeout)
}

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// exchangeFailure returns the result of a request whose exchange ended with err after sent datagrams.
func exchangeFailure(err error, sent int) Result {
	switch {
	case sent > 0:
		return Result{Outcome: Unknown, Reason: ReasonNoAnswer, Sent: sent}
	case isContextError(err):
		return Result{Outcome: NotRun, Reason: ReasonDeadline}
	default:
		return Result{Outcome: NotRun, Reason: ReasonInvalid}
	}
}

// token returns the current token for requests and fetches one with r if there is none; failure is the result of the
// request if no token was obtained.
func (c *Caller) token(ctx context.Context, r *request) (echo []byte, failure *Result) {
	if echo = c.tokens.get(); echo != nil {
		return echo, nil
	}
	if err := c.tokens.lock(ctx); err != nil {
		return nil, &Result{Outcome: NotRun, Reason: ReasonDeadline}
	}
	defer c.tokens.unlock()
	if echo = c.tokens.get(); echo != nil {
		return echo, nil
	}
	echo, failure = c.fetchToken(ctx, r)
	c.tokens.set(echo)
	return echo, failure
}

// fetchToken obtains a token by sending the request without token and body, which a VM answers with 4.01 and does not
// run.
func (c *Caller) fetchToken(ctx context.Context, r *request) (echo []byte, failure *Result) {
	withoutToken := &request{code: r.code, path: r.path, observe: r.observe}
	resp, _, err := c.exchange(ctx, withoutToken)
	if err != nil {
		res := exchangeFailure(err, 0)
		return nil, &res
	}
	if resp.offersToken() {
		return resp.echo, nil
	}
	res := resp.result()
	if res.Outcome != NotRun {
		res = Result{Outcome: NotRun, Reason: ReasonNoToken, Code: res.Code}
	}
	return nil, &res
}
