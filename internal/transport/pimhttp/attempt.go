package pimhttp

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// attempt follows one request through net/http.
type attempt struct {
	deadline pimclock.Instant
	// requestWritten is set once net/http has written the whole request.
	requestWritten atomic.Bool

	mu      sync.Mutex
	current *conn
	// wroteBefore reports that an earlier connection of this request was written to.
	wroteBefore bool
}

// trace returns the hooks that bind the attempt to its connection.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      a.gotConn,
		WroteRequest: a.wroteRequest,
		// With this hook, net/http accepts any number of interim answers; each counts as progress.
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
	a.current = c
}

func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		a.requestWritten.Store(true)
	}
}

func (a *attempt) conn() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// abort closes the connection and reports whether anything may have been written.
func (a *attempt) abort() (wrote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return a.wroteBefore
	}
	return a.current.abort() || a.wroteBefore
}

func (a *attempt) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, a.trace())
}
