package pimfetch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrTooLarge means that the body of a response is larger than Request.MaxBytes.
var ErrTooLarge = errors.New("response is too large")

// ErrStalled means that the server sent nothing for Settings.Timeout.
var ErrStalled = errors.New("server has stopped sending")

// Settings are the settings of a Client.
type Settings struct {
	// Timeout is the longest time without progress: until the header arrives, in addition to the time for which the server
	// holds the response back, and from then on between two parts of the body.
	Timeout time.Duration
	// MaxIdle is the longest time for which a connection that no call uses is kept; zero means Timeout. A connection may go silent
	// without a reset, which shows only once a call on it has timed out. With MaxIdle up to Timeout, no connection that was idle when
	// that call began is used after it.
	MaxIdle time.Duration
	// KeepAlive is the time without a received byte after which the kernel probes a connection, and the time between two probes; it
	// closes the connection after maxMissedProbes of them. Nothing else shows that a connection has gone silent while the server holds
	// a response back for long. Zero means the default of the net package, which takes minutes.
	KeepAlive time.Duration
	// SourceAddress is the local address of the connections; the zero value lets the operating system choose.
	SourceAddress netip.Addr
	// Dial opens a connection; nil means a TCP connection from SourceAddress.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Observe is called with each finished call; nil means no callback.
	Observe func(Call)
}

// Request is what a client calls for.
type Request struct {
	URL url.URL
	// Hold is the time for which the server may hold the response back.
	Hold time.Duration
	// MaxBytes is the largest size of the body.
	MaxBytes int64
	// Answered is called once the header of the response has arrived; nil means no callback.
	Answered func()
}

// Call describes a finished call.
type Call struct {
	Path string
	// Header is the time until the header of the response arrived, zero if it did not. Total is the time until the call
	// ended.
	Header, Total time.Duration
	// Reused is set if the connection had served an earlier call, after which it was idle for Idle.
	Reused bool
	Idle   time.Duration
	// Bytes is the number of bytes of the body that arrived.
	Bytes int64
	Err   error
}

// maxIdleConnections is the number of unused connections that are kept open.
const maxIdleConnections = 4

// maxMissedProbes is the number of keep-alive probes without an answer after which the kernel closes a connection.
const maxMissedProbes = 3

// Client calls one server; it is safe for concurrent use.
type Client struct {
	cfg  Settings
	http *http.Client
}

// New returns a client; cleanup closes idle connections.
func New(cfg Settings) (c *Client, cleanup func()) {
	if cfg.Observe == nil {
		cfg.Observe = func(Call) {}
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = cfg.Timeout
	}
	if cfg.Dial == nil {
		cfg.Dial = newDialer(&cfg).DialContext
	}
	transport := &http.Transport{
		DialContext: cfg.Dial, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: cfg.MaxIdle,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

func newDialer(cfg *Settings) *net.Dialer {
	d := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.SourceAddress.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.SourceAddress, 0))
	}
	if cfg.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: cfg.KeepAlive, Interval: cfg.KeepAlive, Count: maxMissedProbes}
		d.Control = cfg.limitUnacknowledged
	}
	return d
}

// limitUnacknowledged lets the kernel close a socket whose data the server has not acknowledged for as long as it waits for answers to
// its probes: it sends none while data is unacknowledged.
func (cfg *Settings) limitUnacknowledged(_, _ string, c syscall.RawConn) (err error) {
	limit := (1 + maxMissedProbes) * cfg.KeepAlive
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// Get makes a call and passes the response to read, which need not close its body. It returns the error of the call or that of
// read. A call that makes no progress ends with ErrStalled, and one with too large a body with ErrTooLarge.
// A call that makes progress may take as long as the size of the response requires: started again, it would transfer the
// same bytes once more.
func (c *Client) Get(ctx context.Context, r *Request, read func(*http.Response) error) (err error) {
	call := Call{Path: r.URL.Path}
	start := time.Now()
	defer func() {
		call.Total, call.Err = time.Since(start), err
		c.cfg.Observe(call)
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.cfg.Timeout+r.Hold, func() { cancel(ErrStalled) })
	defer watchdog.Stop()
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
			err = ErrStalled
		}
	}()
	trace := httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { call.Reused, call.Idle = i.Reused, i.IdleTime }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodGet, r.URL.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	call.Header = time.Since(start)
	if r.Answered != nil {
		r.Answered()
	}
	if resp.ContentLength > r.MaxBytes {
		return ErrTooLarge
	}
	watchdog.Reset(c.cfg.Timeout)
	progress := func(n int) {
		call.Bytes += int64(n)
		watchdog.Reset(c.cfg.Timeout)
	}
	body := resp.Body
	resp.Body = &bodyReader{ReadCloser: body, left: r.MaxBytes, progress: progress}
	return read(resp)
}

// bodyReader calls progress with the number of bytes of each read that returns any. It returns ErrTooLarge once more than
// left bytes were read.
type bodyReader struct {
	io.ReadCloser
	left     int64
	progress func(n int)
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); n > 0 {
		b.progress(n)
	}
	if b.left -= int64(n); b.left < 0 {
		return n, ErrTooLarge
	}
	return n, err
}
