package pimhttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
)

// read reads the whole response and classifies it.
func (a *attempt) read(resp *http.Response, w *watchdog) Result {
	body, err := readBody(resp)
	if err == nil {
		return classify(resp, body)
	}
	if !errors.Is(err, ErrTooLarge) {
		return a.failed(w.cause(err))
	}
	a.abort()
	return Result{Outcome: pimedge.OutcomeFailed, Reason: pimedge.ReasonTooLarge, Status: resp.StatusCode, Err: err}
}

// readBody returns the body only if Content-Length or chunked encoding proves that it is complete. A body that ends
// when the connection closes may have been truncated.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > pimedge.MaxBody {
		return nil, ErrTooLarge
	}
	if resp.ContentLength < 0 && !isChunked(resp) {
		return nil, ErrIncomplete
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, pimedge.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > pimedge.MaxBody {
		return nil, ErrTooLarge
	}
	if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		return nil, ErrIncomplete
	}
	return body, nil
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
}

func classify(resp *http.Response, body []byte) Result {
	if retry, ok := shedRetryAfter(resp); ok {
		return Result{
			Outcome:    pimedge.OutcomeNotRun,
			Reason:     pimedge.ReasonNoSlot,
			Status:     resp.StatusCode,
			Shed:       true,
			RetryAfter: retry,
			Err:        ErrShed,
		}
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return Result{
			Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonBackendGone, Status: resp.StatusCode,
			Err: ErrMisdirected,
		}
	}
	outcome := pimedge.OutcomeAnswered
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = pimedge.OutcomeFailed
	}
	return Result{Outcome: outcome, Status: resp.StatusCode, Body: body}
}

// shedRetryAfter returns the delay of a 503 with a valid Retry-After, by which a server states that it shed the request
// without running it; a 503 without Retry-After does not rule out that the request ran.
func shedRetryAfter(resp *http.Response) (retry time.Duration, ok bool) {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0, false
	}
	value := resp.Header.Get("Retry-After")
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second, true
	}
	return retryAfterDate(value, resp.Header.Get("Date"))
}

// retryAfterDate returns the delay for the date form of Retry-After (RFC 9110, 10.2.3). The date is compared with the
// Date header of the server, so that the clocks need not agree; without a valid Date, the clock of this VM is used.
func retryAfterDate(value, serverDate string) (retry time.Duration, ok bool) {
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(serverDate)
	if err != nil {
		now = time.Now()
	}
	return max(at.Sub(now), 0), true
}
