package pimcaller

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// The values of the Observe option in requests (RFC 7641, section 2); observeOpen also refreshes an open flow.
const (
	observeOpen  = 0
	observeClose = 1
)

// reasonBackendGone is the only not_run reason that ends an open flow; the others are ignored, since the next VM may
// decide otherwise.
const reasonBackendGone = "backend_gone"

// maxRejections is the number of token offers, without a message of the backend server in between, after which an open
// flow replaces its token by the offered one. One offer is not enough: a single VM with an old view would separate the
// flow from its backend server.
const maxRejections = 3

// codeTokenRenewed is 2.03, with which a VM renews the token of an open flow.
const codeTokenRenewed = codes.Valid

// establish sends the opening message with a token until the backend server answers. It accepts up to tokenAttempts
// token offers; it returns a *RefusedError, the error of ctx or that of the encoder.
func (f *Flow) establish(ctx context.Context) error {
	wait := f.caller.withJitter(f.caller.cfg.AckTimeout)
	offers := 0
	for sent := 0; ; sent++ {
		if err := f.sendObserve(observeOpen, sent); err != nil {
			return err
		}
		resp, err := f.await(ctx, wait)
		if err != nil {
			return err
		}
		wait = min(2*wait, f.caller.cfg.MaxAckTimeout)
		if resp == nil {
			continue
		}
		if offers < tokenAttempts && resp.offersToken() {
			f.setEcho(resp.echo)
			offers++
			continue
		}
		if res := resp.result(); res.Outcome != Answered {
			return &RefusedError{Result: res}
		}
		f.identity = string(resp.identity)
		f.accept(resp)
		return nil
	}
}

// await returns the next message, nil after the time wait, or the error of ctx.
func (f *Flow) await(ctx context.Context, wait time.Duration) (*response, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case resp := <-f.queue.ch:
		return resp, nil
	case <-timer.C:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendObserve sends an open, refresh or close message with a message id of its own.
func (f *Flow) sendObserve(observe, sentBefore int) error {
	r := &request{code: codes.GET, path: f.path, echo: f.currentEcho(), observe: observe}
	datagram, err := r.encode(f.token, f.caller.messageID())
	if err != nil {
		return err
	}
	f.caller.send(datagram, sentBefore)
	return nil
}

// run serves the flow until it ends, and then records the reason and closes the channels.
func (f *Flow) run(ctx context.Context) {
	err := f.serve(ctx)
	if errors.Is(err, ErrFlowClosed) {
		_ = f.sendObserve(observeClose, 0)
	} else {
		f.caller.flowsBroken.Add(1)
	}
	f.caller.unregister(f.token)
	f.mu.Lock()
	f.err = err
	f.mu.Unlock()
	close(f.updates)
	close(f.done)
}

// serve receives the messages of the flow and sends a refresh at each refresh interval; an unanswered refresh is sent
// again with growing delays until a message of the backend server arrives. It returns the reason for which the flow
// ended.
func (f *Flow) serve(ctx context.Context) error {
	cfg := &f.caller.cfg
	next := f.lastReceived.Add(f.caller.refreshInterval())
	var refreshed time.Time
	unanswered := 0
	for {
		resp, err := f.await(ctx, max(time.Until(next), 0))
		if err != nil {
			return ErrFlowClosed
		}
		if resp != nil {
			if err = f.handle(resp); err != nil {
				return err
			}
			if unanswered > 0 && f.lastReceived.After(refreshed) {
				unanswered = 0
				next = refreshed.Add(f.caller.refreshInterval())
			}
			continue
		}
		if time.Since(f.lastReceived) >= cfg.SilenceTimeout {
			return ErrFlowSilent
		}
		if err = f.sendObserve(observeOpen, unanswered); err != nil {
			return err
		}
		refreshed = time.Now()
		unanswered++
		next = refreshed.Add(min(cfg.AckTimeout<<min(unanswered, 8), cfg.MaxAckTimeout))
	}
}

// handle processes one message of an open flow; an error ends the flow.
func (f *Flow) handle(resp *response) error {
	if resp.offersToken() {
		f.countRejection(resp)
		return nil
	}
	if resp.code == codeTokenRenewed && len(resp.echo) > 0 {
		f.setEcho(resp.echo)
		return nil
	}
	res := resp.result()
	if res.Outcome == Unknown || res.Outcome == NotRun && res.Reason != reasonBackendGone {
		return nil
	}
	if res.Outcome != Answered || resp.class() != 2 {
		return &RefusedError{Result: res}
	}
	if string(resp.identity) != f.identity {
		return ErrFlowMoved
	}
	f.accept(resp)
	return nil
}

// countRejection counts a token offer, with which a VM rejects the token of the flow, and replaces the token after
// maxRejections of them.
func (f *Flow) countRejection(resp *response) {
	f.rejections++
	if f.rejections >= maxRejections {
		f.setEcho(resp.echo)
		f.rejections = 0
	}
}

// sequenceMaxAge is the time since the last notification after which any sequence number counts as newer (RFC 7641,
// section 3.4).
const sequenceMaxAge = 128 * time.Second

// accept records that the backend server sent a message. It delivers the message as a notification if it has a sequence
// number, unless the same or a newer one was received.
func (f *Flow) accept(resp *response) {
	now := time.Now()
	first := f.lastReceived.IsZero()
	f.lastReceived = now
	f.rejections = 0
	if !resp.hasObserve || !first && !isNewer(f.sequence, resp.observe) && now.Sub(f.sequenceAt) < sequenceMaxAge {
		return
	}
	f.sequence, f.sequenceAt = resp.observe, now
	select {
	case f.updates <- Notification{Sequence: resp.observe, Body: resp.body}:
	default:
	}
}

// isNewer reports whether current is newer than old; sequence numbers have 24 bits and wrap around (RFC 7641,
// section 3.4).
func isNewer(old, current uint32) bool {
	const half = 1 << 23
	return old < current && current-old < half || old > current && old-current > half
}

func querySeparator(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
