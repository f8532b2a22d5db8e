package pimcaller

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/samber/oops"
)

// The reasons for which a flow ends.
var (
	// ErrFlowMoved means that the flow identity of the backend server changed.
	ErrFlowMoved = errors.New("flow identity changed")
	// ErrFlowSilent means that the backend server sent nothing for Config.SilenceTimeout.
	ErrFlowSilent = errors.New("flow is silent")
	// ErrFlowRefused means that a VM or the backend server ended the flow.
	ErrFlowRefused = errors.New("flow refused")
	// ErrFlowClosed means that the caller closed the flow.
	ErrFlowClosed = errors.New("flow closed")
)

// RefusedError reports why a flow was not opened, or why an open flow was ended: the refusal by a VM or by the backend
// server, or the reason for which no token was obtained.
type RefusedError struct{ Result Result }

// Error names the outcome and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("flow refused: %s %s", e.Result.Outcome, e.Result.Reason)
}

// Unwrap returns ErrFlowRefused.
func (e *RefusedError) Unwrap() error { return ErrFlowRefused }

// Notification is one message of the backend server.
type Notification struct {
	// Sequence is the value of the Observe option.
	Sequence uint32
	Body     []byte
}

// Flow is one open flow to a backend server, an observation in CoAP (RFC 7641); it is safe for concurrent use.
type Flow struct {
	caller   *Caller
	path     string
	token    coapToken
	queue    *receiveQueue
	identity string
	updates  chan Notification
	done     chan struct{}
	stop     context.CancelFunc

	// The fields up to mu are used by Open, and then only by the goroutine run.

	// lastReceived is the time of the last valid message of the backend server.
	lastReceived time.Time
	sequence     uint32
	sequenceAt   time.Time
	// rejections counts the token offers since lastReceived, or since one of them replaced the token.
	rejections int

	mu   sync.Mutex
	echo []byte
	err  error
}

// Open opens a flow. It returns a *RefusedError, or the error of ctx if it ends after a token was obtained.
func (c *Caller) Open(ctx context.Context, path string) (f *Flow, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "open flow")
		}
	}()
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	r := &request{code: codes.GET, path: path, observe: observeOpen}
	echo, failure := c.fetchToken(ctx, r)
	if failure != nil {
		return nil, &RefusedError{Result: *failure}
	}
	f = &Flow{caller: c, path: path, echo: echo}
	f.updates = make(chan Notification, queueSize)
	f.done = make(chan struct{})
	f.token, f.queue = c.register(true)
	if err = f.establish(ctx); err != nil {
		// The backend server may have opened the flow although its answer was lost.
		_ = f.sendObserve(observeClose, 0)
		c.unregister(f.token)
		return nil, err
	}
	runCtx, stop := context.WithCancel(c.ctx)
	f.stop = stop
	c.flowsOpened.Add(1)
	c.wg.Go(func() { f.run(runCtx) })
	return f, nil
}

// Updates returns the channel of notifications; those that find it full are dropped. It is closed when the flow ends.
func (f *Flow) Updates() <-chan Notification { return f.updates }

// Done returns a channel that is closed when the flow has ended.
func (f *Flow) Done() <-chan struct{} { return f.done }

// Identity returns the flow identity of the backend server in hexadecimal.
func (f *Flow) Identity() string { return hex.EncodeToString([]byte(f.identity)) }

// Err returns why the flow ended; nil while it is open.
func (f *Flow) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Close ends the flow and waits until it has ended. The closing message to the backend server is sent once, without
// retransmission.
func (f *Flow) Close() {
	f.stop()
	<-f.done
}

// Send sends data on the flow. The query parameter flow, with the CoAP token of the flow in hexadecimal, tells the
// backend server which flow it belongs to. The outcome is Failed if the answer has another flow identity.
func (f *Flow) Send(ctx context.Context, body []byte) Result {
	ctx, cancel := f.caller.withDeadline(ctx)
	defer cancel()
	r := &request{code: codes.PUT, path: f.dataPath(), body: body, echo: f.currentEcho(), observe: noObserve}
	resp, sent, err := f.caller.exchange(ctx, r)
	if err != nil {
		return exchangeFailure(err, sent)
	}
	res := resp.result()
	res.Sent = sent
	if res.Outcome == Answered && string(resp.identity) != f.identity {
		return Result{Outcome: Failed, Reason: "flow_moved", Code: res.Code, Sent: sent}
	}
	return res
}

func (f *Flow) dataPath() string {
	return f.path + querySeparator(f.path) + "flow=" + hex.EncodeToString(f.token[:])
}

func (f *Flow) currentEcho() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.echo
}

func (f *Flow) setEcho(echo []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.echo = echo
}
