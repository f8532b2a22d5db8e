package pimhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// Guards against wrong outcomes, above all a body that is truncated, or cannot be proved complete, but is reported as
// answered.
func TestResponsesAreClassified(t *testing.T) {
	big := strings.Repeat("b", pimedge.MaxBody+1)
	cases := map[string]struct {
		response string
		want     Result
	}{
		"complete":          {okResponse, Result{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: []byte("ok")}},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Result{Outcome: pimedge.OutcomeAnswered, Status: 200, Body: []byte("ok")}},
		"not found":         {"HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\nn", Result{Outcome: pimedge.OutcomeAnswered, Status: 404, Body: []byte("n")}},
		"redirect":          {"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", Result{Outcome: pimedge.OutcomeAnswered, Status: 302, Body: []byte{}}},
		"server error":      {"HTTP/1.1 500 Error\r\nContent-Length: 1\r\n\r\ne", Result{Outcome: pimedge.OutcomeFailed, Status: 500, Body: []byte("e")}},
		"shed":              {"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", Result{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonNoSlot, Status: 503, Shed: true, RetryAfter: 3 * time.Second, Err: ErrShed}},
		"shed until a date": {"HTTP/1.1 503 Busy\r\nDate: Fri, 04 Dec 2026 04:00:00 GMT\r\nRetry-After: Fri, 04 Dec 2026 04:00:05 GMT\r\nContent-Length: 0\r\n\r\n", Result{Outcome: pimedge.OutcomeNotRun, Reason: pimedge.ReasonNoSlot, Status: 503, Shed: true, RetryAfter: 5 * time.Second, Err: ErrShed}},
		"503 without retry": {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Result{Outcome: pimedge.OutcomeFailed, Status: 503, Body: []byte{}}},
		"short body":        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", Result{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}},
		"short chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Result{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}},
		"no length":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", Result{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer, Err: ErrIncomplete}},
		"too large":         {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), Result{Outcome: pimedge.OutcomeFailed, Reason: pimedge.ReasonTooLarge, Status: 200, Err: ErrTooLarge}},
		"no http":           {"nonsense\r\n\r\n", Result{Outcome: pimedge.OutcomeUnknown, Reason: pimedge.ReasonNoAnswer}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, b := startRawServer(t, func(s *rawServer, _ int, c net.Conn) {
				s.read(bufio.NewReader(c), -1)
				respond(c, tc.response)
			})
			got := post(t, newClient(t, Config{}), b, []byte("order"))
			if tc.want.Err != nil {
				is.True(errors.Is(got.Err, tc.want.Err))
			}
			got.Duration, got.Err, tc.want.Err = 0, nil, nil
			is.Equal(got, tc.want)
		})
	}
}

// Guards against a path that is parsed as a host name or changed in transit.
func TestPathArrivesUnchanged(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.Host + r.RequestURI))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	b := pimview.Backend{HTTPAddress: netip.MustParseAddrPort(address)}
	c := newClient(t, Config{})
	for _, path := range []string{"/", "//other/x", "/a%2Fb?q=1%26x", "/@other/", "/a//b/", "/%3Fx"} {
		res := c.Do(context.Background(), b, http.MethodGet, path, nil, testDeadline())
		is.Equal(string(res.Body), address+path)
	}
	for _, path := range []string{"", "x", "@other/", ":1/"} {
		res := c.Do(context.Background(), b, http.MethodGet, path, nil, testDeadline())
		is.True(res.NotSent && errors.Is(res.Err, ErrPath))
	}
}

// Guards against a request that is sent after its deadline, for example after a pause of the process.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s, b := startRawServer(t, func(s *rawServer, _ int, c net.Conn) {
		s.read(bufio.NewReader(c), -1)
		respond(c, okResponse)
	})
	clock := &pimclock.Manual{}
	c := newClient(t, Config{Clock: clock})
	res := c.Do(context.Background(), b, http.MethodPost, "/", []byte("x"), clock.Now())
	is.True(res.NotSent && errors.Is(res.Err, ErrDeadline)) // the deadline has passed before the call
	// The deadline passes while the connection is set up.
	paused := &pausedDial{clock: clock, dialer: &dialer{clock: clock}}
	c.requests.DialContext = paused.dial
	res = c.Do(context.Background(), b, http.MethodPost, "/", []byte("x"), clock.Now().Add(time.Minute))
	is.Equal(res.Outcome, pimedge.OutcomeNotRun)
	is.Equal(res.Reason, pimedge.ReasonDeadline)
	is.True(res.NotSent && errors.Is(res.Err, ErrDeadline))
	started, _ := s.counts()
	is.Equal(started, 0)
}

// pausedDial advances the clock by an hour during each connection setup.
type pausedDial struct {
	clock  *pimclock.Manual
	dialer *dialer
}

func (d *pausedDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	defer d.clock.Advance(time.Hour)
	return d.dialer.dial(ctx, network, address)
}

// Guards against a refused connection whose request is not reported as not sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := pimview.Backend{HTTPAddress: netip.MustParseAddrPort(listener.Addr().String())}
	is.NoErr(listener.Close())
	res := post(t, newClient(t, Config{}), b, []byte("x"))
	is.True(res.NotSent)
	is.Equal(res.Outcome, pimedge.OutcomeNotRun)
	is.Equal(res.Reason, pimedge.ReasonBackendGone)
}

// Guards against a backend server that keeps working for a caller that has gone: cancelling must close the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	received, closed := make(chan struct{}), make(chan struct{})
	_, b := startRawServer(t, func(s *rawServer, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		s.read(r, -1)
		close(received)
		_, _ = r.ReadByte() // returns when the client closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	res := newClient(t, Config{}).Do(ctx, b, http.MethodPost, "/", []byte("x"), testDeadline())
	is.Equal(res.Outcome, pimedge.OutcomeUnknown)
	<-closed
}

func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	c, cleanup := NewClient(Config{})
	defer cleanup()
	backend := pimview.Backend{HTTPAddress: netip.MustParseAddrPort(server.Listener.Addr().String())}
	body := []byte("order")
	b.ReportAllocs()
	for b.Loop() {
		if res := c.Do(b.Context(), backend, http.MethodPost, "/", body, testDeadline()); res.Outcome != pimedge.OutcomeAnswered {
			b.Fatal(res.Err)
		}
	}
}
