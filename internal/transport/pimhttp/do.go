package pimhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// TimeoutHeader is the header with the remaining time until the deadline in milliseconds.
const TimeoutHeader = "Request-Timeout-Ms"

// Do sends one request and reads its whole response. A POST is written to at most one connection. The deadline is an
// instant of Config.Clock. Cancelling ctx closes the connection.
func (c *Client) Do(
	ctx context.Context, b pimview.Backend, method, path string, body []byte, deadline pimclock.Instant,
) (res Result) {
	ctx, span := startSpan(ctx, b)
	start := c.cfg.Clock.Now()
	defer func() {
		res.Duration = c.cfg.Clock.Now().Sub(start)
		endSpan(span, &res)
	}()
	left := deadline.Sub(start)
	if left <= 0 {
		return notSent(ErrDeadline)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, left, context.DeadlineExceeded)
	defer cancel()
	a := &attempt{deadline: deadline}
	req, err := newRequest(a.context(ctx), b, method, path, body, left)
	if err != nil {
		return notSent(err)
	}
	if c.cfg.HostHeader != nil {
		req.Host = c.cfg.HostHeader(b.Service)
	}
	id := c.setRequestID(req, b)
	w := &watchdog{client: c, backend: b, attempt: a}
	stop := w.start(ctx, cancel)
	defer stop()
	resp, err := c.requests.RoundTrip(req)
	if err != nil {
		return a.failed(w.cause(err))
	}
	defer closeBody(resp)
	if err = c.checkRequestID(resp, b, id, a.usesReusedConn()); err != nil {
		return a.failed(err)
	}
	return a.read(resp, w)
}

// newRequest builds a request whose body net/http cannot send a second time: without GetBody, it cannot rewind a body.
func newRequest(
	ctx context.Context, b pimview.Backend, method, path string, body []byte, left time.Duration,
) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, ErrPath
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.HTTPAddress.String()+path, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	req.GetBody = nil
	ms := max(left.Milliseconds(), 1)
	req.Header.Set(TimeoutHeader, strconv.FormatInt(ms, 10))
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// notSent is the result of a request of which no byte was written.
func notSent(err error) Result {
	return Result{Outcome: pimedge.OutcomeNotRun, Reason: reasonNotSent(err), NotSent: true, Err: err}
}

func reasonNotSent(err error) pimedge.Reason {
	if errors.Is(err, ErrPath) {
		return pimedge.ReasonBadInput
	}
	if errors.Is(err, ErrDeadline) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return pimedge.ReasonDeadline
	}
	return pimedge.ReasonBackendGone
}

// failed closes the connection of a request without a complete response and returns the result.
func (a *attempt) failed(err error) Result {
	if !a.abort() {
		if a.hasMissedDeadline() {
			err = ErrDeadline
		}
		return notSent(err)
	}
	return Result{
		Outcome:    pimedge.OutcomeUnknown,
		Reason:     pimedge.ReasonNoAnswer,
		NoProgress: errors.Is(err, ErrNoProgress),
		Err:        err,
	}
}
