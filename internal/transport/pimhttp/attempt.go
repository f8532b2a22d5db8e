package pimhttp

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// attempt tracks the connections that net/http uses for one request.
type attempt struct {
	deadline pimclock.Instant
	// requestWritten is set once net/http has written the whole request.
	requestWritten atomic.Bool

	mu      sync.Mutex
	current *conn
	// isReused reports that the current connection carried another request before.
	isReused bool
	// wroteBefore reports that a byte of this request may have been written to an earlier connection.
	wroteBefore bool
}

// trace returns the net/http hooks that tell the attempt which connection is used and when the request is written.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      a.gotConn,
		WroteRequest: a.wroteRequest,
		// With this hook, net/http accepts any number of interim responses (1xx); without it, the total size of their
		// headers is limited to maxHeaderBytes. Each interim response counts as progress.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && a.current.hasWritten() {
		a.wroteBefore = true
	}
	c.startRequest(a.deadline)
	a.current, a.isReused = c, info.Reused
}

func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		a.requestWritten.Store(true)
	}
}

func (a *attempt) usesReusedConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isReused
}

func (a *attempt) conn() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// abort closes the connection and reports whether any byte of the request may have been written to any connection.
func (a *attempt) abort() (wrote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return a.wroteBefore
	}
	return a.current.abort() || a.wroteBefore
}

// hasMissedDeadline reports whether the deadline kept the request from being written to the current connection.
func (a *attempt) hasMissedDeadline() bool {
	c := a.conn()
	return c != nil && c.hasMissedDeadline()
}

func (a *attempt) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, a.trace())
}
