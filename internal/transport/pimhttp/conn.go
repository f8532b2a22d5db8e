package pimhttp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// conn records whether a byte of the current request was written and when a byte was last received. net/http uses it
// for one request at a time.
type conn struct {
	net.Conn
	clock    pimclock.Clock
	lastRead atomic.Int64

	mu sync.Mutex
	// deadline is the instant before which the first byte of the current request must be written.
	deadline pimclock.Instant
	// wrote reports that a byte of the current request may have left this process.
	wrote bool
	// missedDeadline reports that the first byte of the current request was refused because of the deadline.
	missedDeadline bool
	// aborted makes each later write fail.
	aborted bool
}

// startRequest prepares the connection for the next request, whose first byte must be written before the deadline.
func (c *conn) startRequest(deadline pimclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.wrote = false
	c.missedDeadline = false
	c.touch()
}

// Write checks the deadline right before the first byte, since the process may have been paused since the last check.
func (c *conn) Write(p []byte) (int, error) {
	first, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.undoWrite()
	}
	return n, err
}

func (c *conn) beginWrite() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return false, net.ErrClosed
	}
	if c.wrote {
		return false, nil
	}
	if !c.clock.Now().Before(c.deadline) {
		c.missedDeadline = true
		return false, ErrDeadline
	}
	c.wrote = true
	return true, nil
}

// undoWrite records that the kernel accepted no byte. It does not change a result that abort has already returned.
func (c *conn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// Read records the time of the last received byte.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

func (c *conn) touch() { c.lastRead.Store(int64(c.clock.Now())) }

// lastActivity returns the instant of the last received byte or of the start of the request, whichever is later.
func (c *conn) lastActivity() pimclock.Instant { return pimclock.Instant(c.lastRead.Load()) }

// hasWritten reports whether a byte of the current request may have been written.
func (c *conn) hasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

func (c *conn) hasMissedDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.missedDeadline
}

// abort refuses later writes, closes the connection and reports whether a byte of the current request may have been
// written. net/http can return from a cancelled request before its write loop has run; since later writes fail, the
// result is final.
func (c *conn) abort() (wrote bool) {
	c.mu.Lock()
	c.aborted = true
	wrote = c.wrote
	c.mu.Unlock()
	_ = c.Close()
	return wrote
}

// dialer opens connections of type conn.
type dialer struct {
	clock  pimclock.Clock
	dialer net.Dialer
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, clock: d.clock}, nil
}
