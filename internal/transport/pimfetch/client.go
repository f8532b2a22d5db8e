package pimfetch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Settings are the settings of a Client.
type Settings struct {
	// Timeout is the timeout of a call, in addition to the time for which the server holds the response back.
	Timeout time.Duration
	// MaxBytes bounds the body of a response.
	MaxBytes int64
	// SourceAddress is the local address of the connections; the zero value lets the operating system choose.
	SourceAddress netip.Addr
	// Observe is called with each finished call; nil means no callback.
	Observe func(Call)
}

// Call describes a finished call.
type Call struct {
	Path string
	// Header is the time until the header of the response arrived, zero if it did not. Total is the time until the call
	// ended.
	Header, Total time.Duration
	// Bytes is the number of bytes of the body that arrived.
	Bytes int64
	Err   error
}

// Client calls one server; it is safe for concurrent use.
type Client struct {
	cfg  Settings
	http *http.Client
}

// New returns a client; cleanup closes idle connections.
func New(cfg Settings) (c *Client, cleanup func()) {
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	if cfg.SourceAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.SourceAddress, 0))
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Call) {}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Get calls u, whose response the server may hold back for the time hold, and passes the status and the body of the
// response to read. It returns the error of the call or that of read.
func (c *Client) Get(ctx context.Context, u *url.URL, hold time.Duration, read func(status int, body io.Reader) error) (err error) {
	call := Call{Path: u.Path}
	start := time.Now()
	defer func() {
		call.Total, call.Err = time.Since(start), err
		c.cfg.Observe(call)
	}()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+hold)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	call.Header = time.Since(start)
	return read(resp.StatusCode, &countingReader{r: io.LimitReader(resp.Body, c.cfg.MaxBytes), n: &call.Bytes})
}

// countingReader adds the number of bytes that it reads to n.
type countingReader struct {
	r io.Reader
	n *int64
}

// Read reads from r.
func (c *countingReader) Read(p []byte) (n int, err error) {
	n, err = c.r.Read(p)
	*c.n += int64(n)
	return n, err
}
