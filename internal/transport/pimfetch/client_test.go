package pimfetch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowServer is a transport whose response has its header after a time, and then a body in parts with a gap before each.
type slowServer struct {
	header, gap time.Duration
	parts       int
	// length is the announced length of the body; -1 if it is unknown.
	length int64
	ctx    context.Context
}

// RoundTrip returns the response after the time of the header.
func (s *slowServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.ctx = r.Context()
	if err := wait(s.ctx, s.header); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, ContentLength: s.length, Body: s, Request: r}, nil
}

// Read returns the next part of the body.
func (s *slowServer) Read(b []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	s.parts--
	return len(b), wait(s.ctx, s.gap)
}

// Close does nothing.
func (s *slowServer) Close() error { return nil }

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const (
	timeout  = time.Second
	hold     = 2 * time.Second
	maxBytes = 1 << 20
)

// get reads the whole response of a server in simulated time.
func get(ctx context.Context, s *slowServer) (call Call, err error) {
	c := &Client{
		cfg:  Settings{Timeout: timeout, Observe: func(finished Call) { call = finished }},
		http: &http.Client{Transport: s},
	}
	r := &Request{URL: url.URL{Scheme: "http", Host: "store", Path: "/watch"}, Hold: hold, MaxBytes: maxBytes}
	err = c.Get(ctx, r, func(resp *http.Response) error {
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	})
	return call, err
}

// Guards against a large response that is never received, because the call ends by a timeout although the server keeps
// sending; and against a call that waits for a server that has stopped.
func TestOnlyCallsWithoutProgressTimeOut(t *testing.T) {
	for name, tc := range map[string]struct {
		server slowServer
		want   error
		total  time.Duration
	}{
		"slow body":        {slowServer{header: hold, gap: timeout / 2, parts: 20}, nil, hold + 10*timeout},
		"held back":        {slowServer{header: hold + timeout/2}, nil, hold + timeout/2},
		"no header":        {slowServer{header: time.Hour}, ErrStalled, hold + timeout},
		"body that stalls": {slowServer{header: time.Millisecond, gap: time.Hour, parts: 3}, ErrStalled, time.Millisecond + timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				call, err := get(t.Context(), &tc.server)
				is.True(errors.Is(err, tc.want))
				is.Equal(call.Total, tc.total)
				is.True(errors.Is(call.Err, tc.want))
			})
		})
	}
}

// Guards against a response that uses much memory or time although it is not wanted, whether or not its length is announced.
func TestResponseThatIsTooLarge(t *testing.T) {
	for name, s := range map[string]slowServer{
		"announced":     {gap: time.Minute, parts: 1, length: maxBytes + 1},
		"not announced": {parts: maxBytes, length: -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				call, err := get(t.Context(), &s)
				is.True(errors.Is(err, ErrTooLarge))
				is.Equal(call.Total, 0*time.Second)
				is.True(call.Bytes < 2*maxBytes)
			})
		})
	}
}

// Guards against a cancelled call that is reported as a server that stalls.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), timeout/2)
		defer cancel()
		_, err := get(ctx, &slowServer{header: time.Hour})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!errors.Is(err, ErrStalled))
	})
}
