package pimhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

func newClient(t *testing.T, cfg Config) *Client {
	t.Helper()
	c, cleanup := NewClient(cfg)
	t.Cleanup(cleanup)
	return c
}

// testDeadline is far enough away that no test reaches it.
func testDeadline() pimclock.Instant { return pimclock.Boot{}.Now().Add(time.Minute) }

func post(t *testing.T, c *Client, b pimview.Backend, body []byte) Result {
	t.Helper()
	return c.Do(context.Background(), b, http.MethodPost, "/orders", body, testDeadline())
}

// closePoint is a point at which a stand-in server closes the connection of the second request.
type closePoint struct {
	name string
	// limit is the number of bytes of the request that are read; a negative limit reads all.
	limit int
	// response is sent before the close.
	response string
	// abort closes with a reset (RST).
	abort bool
}

// closePoints returns the points for a request with a body of the given size in bytes. None lies beyond the end of the
// request, where the server would wait for bytes that never come.
func closePoints(bodySize int) []closePoint {
	points := []closePoint{
		{name: "after the first response", limit: 0},
		{name: "after the whole request", limit: -1},
		{name: "after an interim response", limit: -1, response: "HTTP/1.1 102 Processing\r\n\r\n"},
	}
	limits := []int{1, 4, 20, 60, 90}
	if bodySize > 1000 {
		limits = append(limits, 1000, bodySize)
	}
	for _, limit := range limits {
		points = append(points, closePoint{name: fmt.Sprintf("after %d bytes", limit), limit: limit})
	}
	full := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	for size := 1; size < len(full); size++ {
		points = append(points, closePoint{name: fmt.Sprintf("after %d response bytes", size), limit: -1, response: full[:size]})
	}
	for _, p := range points {
		p.abort = true
		p.name += ", reset"
		points = append(points, p)
	}
	return points
}

// answerTwice sends the answer to each request once more when the next request has arrived; with repeats, both copies repeat the
// number of the request.
func answerTwice(c net.Conn, repeats bool) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		if repeats {
			answer += "Request-Id: " + req.Header.Get(RequestIDHeader) + "\r\n"
		}
		answer += "\r\n" + req.URL.Path[1:]
		respond(c, answer)
		if _, err = r.Peek(1); err != nil {
			return
		}
		respond(c, answer)
	}
}

// Guards against a second copy of an answer, sent late on a connection that is in use again, that is taken for the answer to the
// next request.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, repeats := range map[string]bool{"numbered": true, "not numbered": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, b := startRawServer(t, func(_ *rawServer, _ int, c net.Conn) { answerTwice(c, repeats) })
			c := newClient(t, Config{})
			for _, path := range []string{"/aa", "/bb", "/cc", "/dd"} {
				res := c.Do(t.Context(), b, http.MethodGet, path, nil, testDeadline())
				if res.Outcome == pimedge.OutcomeAnswered {
					is.Equal("/"+string(res.Body), path)
					continue
				}
				is.Equal(res.Outcome, pimedge.OutcomeUnknown)
			}
		})
	}
}

// Guards against a POST that net/http retries by itself, above all after a reused connection that the server closed,
// and against a wrong report of whether it was sent. The server closes the connection of the second request at each of
// many points; later connections would answer a retry.
func TestPostIsNeverSentTwice(t *testing.T) {
	bodies := map[string][]byte{"empty": nil, "small": []byte("order"), "large": bytes.Repeat([]byte("o"), 50_000)}
	for name, body := range bodies {
		for _, p := range closePoints(len(body)) {
			for _, reused := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/reused=%v", name, p.name, reused), func(t *testing.T) {
					checkSentOnce(t, p, body, reused)
				})
			}
		}
	}
}

func checkSentOnce(t *testing.T, p closePoint, body []byte, reused bool) {
	is := is.New(t)
	s, b := startRawServer(t, func(s *rawServer, n int, c net.Conn) {
		r := bufio.NewReader(c)
		if n == 1 && reused {
			s.read(r, -1)
			s.respondOK(c)
		}
		if n > 1 {
			s.read(r, -1)
			respond(c, okResponse)
			return
		}
		if p.abort {
			reset(c)
		}
		if p.limit != 0 && s.read(r, p.limit) {
			respond(c, p.response)
		}
	})
	c := newClient(t, Config{})
	before := 0
	c.repeatsIDs.Store(b.HTTPAddress, struct{}{}) // so that the first connection may be reused
	if reused {
		is.Equal(post(t, c, b, body).Outcome, pimedge.OutcomeAnswered)
		before = 1
	}
	res := post(t, c, b, body)
	s.drain()
	started, completed := s.counts()
	t.Logf("outcome %s, %d attempts", res.Outcome, started-before)
	attempts := started - before
	is.True(attempts <= 1)
	if res.Outcome == pimedge.OutcomeNotRun {
		is.True(res.NotSent)
		is.Equal(attempts, 0)
		return
	}
	if res.Outcome == pimedge.OutcomeAnswered {
		// The closed connection cannot have answered, so a new one did, and nothing was written to the closed one.
		is.Equal(string(res.Body), "ok")
		is.Equal(completed-before, 1)
		return
	}
	is.Equal(res.Outcome, pimedge.OutcomeUnknown)
	is.True(!res.NotSent)
}
