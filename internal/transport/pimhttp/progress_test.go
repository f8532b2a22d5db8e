package pimhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against a stalled connection that delays its request until the deadline or is reused.
func TestStalledConnectionIsClosedAndNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s, b := startRawServer(t, func(s *rawServer, n int, c net.Conn) {
		r := bufio.NewReader(c)
		s.read(r, -1)
		if n > 1 {
			respond(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
			return
		}
		s.respondOK(c)
		s.read(r, -1)
		_, _ = r.ReadByte() // sends nothing until the client closes
		close(closed)
	})
	c := newClient(t, Config{StallTimeout: 20 * time.Millisecond})
	c.repeatsIDs.Store(b.HTTPAddress, struct{}{}) // so that the first connection may be reused
	is.Equal(post(t, c, b, nil).Outcome, pimedge.OutcomeAnswered)
	res := post(t, c, b, []byte("order"))
	is.Equal(res.Outcome, pimedge.OutcomeUnknown)
	is.True(res.NoProgress)
	is.True(errors.Is(res.Err, ErrNoProgress))
	<-closed
	is.Equal(post(t, c, b, nil).Outcome, pimedge.OutcomeAnswered) // on a new connection
	_, completed := s.counts()
	is.Equal(completed, 4) // two answered requests, the stalled one and one health request
}

// Guards against a slow server that is taken for a stalled connection although new connections do not work either, and
// against interim responses (1xx) that make the request fail.
func TestSlowServerIsNotStalled(t *testing.T) {
	is := is.New(t)
	const limit = 10 * time.Millisecond
	probes := make(chan struct{}, 100)
	_, b := startRawServer(t, func(s *rawServer, n int, c net.Conn) {
		s.read(bufio.NewReader(c), -1)
		if n > 1 {
			probes <- struct{}{}
			return // every health request fails
		}
		<-probes
		<-probes
		for range 20 { // older Go versions accepted at most 5 without a hook
			respond(c, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		respond(c, okResponse)
	})
	res := post(t, newClient(t, Config{StallTimeout: limit}), b, []byte("order"))
	is.Equal(res.Outcome, pimedge.OutcomeAnswered)
	is.True(!res.NoProgress)
}

// Guards against load responses that are decoded wrongly, and against health and load requests that reuse a connection.
func TestHealthAndLoad(t *testing.T) {
	is := is.New(t)
	load := `{"in_flight":1,"connections":20,"draining":true,"generation":3}`
	s, b := startRawServer(t, func(s *rawServer, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		for s.read(r, -1) {
			respond(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load))
		}
	})
	c := newClient(t, Config{})
	_, err := c.Health(context.Background(), b)
	is.NoErr(err)
	l, err := c.Load(context.Background(), b)
	is.NoErr(err)
	is.Equal(l, Load{InFlight: 1, Connections: 20, Draining: true, Generation: pimid.Generation(3)})
	started, _ := s.counts()
	is.Equal(started, 2)
	is.Equal(s.connectionCount(), 2)
	for _, bad := range []string{"", "{", `{"in_flight":1,"new_key":2}`, `{"in_flight":-1}`, load + load, strings.Repeat(" ", maxReport) + load} {
		if _, err = decodeLoad([]byte(bad)[:min(len(bad), maxReport)]); err == nil {
			t.Errorf("no error for %.40q", bad)
		}
	}
}
