package pimplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfetch"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimfollow"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The defaults of Settings.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultWatchTimeout = 40 * time.Second
	// DefaultMaxBytes limits a response in bytes; 33,000 backend servers and 8,900 contracts need about 20 MB of JSON.
	DefaultMaxBytes     = 64 << 20
	DefaultRestoreDelay = 3 * time.Second
)

// Settings hold the address of the platform and the limits of a call; zero values take the defaults.
type Settings struct {
	// Address is the base URL, for example http://127.0.0.1:7000.
	Address string
	// Timeout limits the time without progress of each call other than Watch. It is also the interval at which the kernel probes the
	// connection of a Watch, whose answer may take longer than a change may take to be in force.
	Timeout time.Duration
	// WatchTimeout limits the time until a long poll is answered; it must exceed the time for which the platform holds a
	// watch.
	WatchTimeout time.Duration
	// MaxBytes limits the size of a response.
	MaxBytes int64
	// RestoreDelay is the time in which operators write again what the platform has lost when it was restored from a copy.
	RestoreDelay time.Duration
}

// Client reads from the platform; it is safe for concurrent use.
type Client struct {
	cfg   Settings
	base  *url.URL
	fetch *pimfetch.Client
	// era is that of the last snapshot; isEraKnown is set once there was one.
	era        atomic.Uint64
	isEraKnown atomic.Bool
}

// New returns a client, or ErrAddress; cleanup closes idle connections.
func New(cfg Settings) (c *Client, cleanup func(), err error) {
	defer func() { err = oops.In("pimplatform").Wrapf(err, "create client") }()
	base, err := url.Parse(cfg.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrAddress, err)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, nil, ErrAddress
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.RestoreDelay == 0 {
		cfg.RestoreDelay = DefaultRestoreDelay
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	fetch, cleanup := pimfetch.New(pimfetch.Settings{Timeout: cfg.Timeout, KeepAlive: cfg.Timeout})
	return &Client{cfg: cfg, base: base, fetch: fetch}, cleanup, nil
}

// Snapshot returns the complete configuration. After the platform was restored from an older copy, it waits for
// Settings.RestoreDelay, so that what was lost is written again and no VM goes back to the older state.
func (c *Client) Snapshot(ctx context.Context) (snap pimconfig.Snapshot, err error) {
	defer func() { err = oops.In("pimplatform").Wrapf(err, "read snapshot") }()
	r, err := c.keys(ctx)
	if err != nil {
		return snap, err
	}
	if known := pimid.Era(c.era.Load()); c.isEraKnown.Load() && r.Era > known {
		pimclock.Sleep(ctx, c.cfg.RestoreDelay)
		if r, err = c.keys(ctx); err != nil {
			return snap, err
		}
	}
	c.era.Store(uint64(r.Era))
	c.isEraKnown.Store(true)
	if snap.Revision, err = pimid.NewRevision(r.Era, r.Revision); err != nil {
		return snap, err
	}
	snap.Entries = make([]pimconfig.Event, 0, len(r.Keys))
	for _, k := range r.Keys {
		revision, err := pimid.NewRevision(r.Era, k.Revision)
		if err != nil {
			return snap, err
		}
		snap.Entries = append(snap.Entries, pimconfig.Event{Revision: revision, Key: k.Key, Value: k.Value})
	}
	return snap, nil
}

func (c *Client) keys(ctx context.Context) (r keysResponse, err error) {
	err = c.get(ctx, 0, "/v1/keys", nil, &r)
	return r, err
}

// Watch returns the events after a revision. It waits for them as long as the platform holds a watch and ignores its
// last argument, the requested wait. The batch has no events if none came in that time; its To is below From if the
// platform replica that answers is older than the state of the caller. The error is pimfollow.ErrCompacted if the platform
// was restored from an older copy since.
func (c *Client) Watch(ctx context.Context, from pimid.Revision, _ time.Duration) (b pimconfig.Batch, err error) {
	defer func() { err = oops.In("pimplatform").Wrapf(err, "watch from revision %v", from) }()
	var r watchResponse
	query := url.Values{"from": {strconv.FormatUint(from.Number(), 10)}}
	if err = c.get(ctx, c.cfg.WatchTimeout-c.cfg.Timeout, "/v1/watch", query, &r); err != nil {
		return b, err
	}
	if r.Era > from.Era() {
		return b, pimfollow.ErrCompacted
	}
	b.From = from
	if b.To, err = pimid.NewRevision(r.Era, r.Revision); err != nil {
		return b, err
	}
	for _, e := range r.Events {
		revision, err := pimid.NewRevision(r.Era, e.Revision)
		if err != nil {
			return b, err
		}
		b.Events = append(b.Events, pimconfig.Event{Revision: revision, Key: e.Key, Value: e.Value, Deleted: e.Deleted})
	}
	return b, nil
}

// VMs returns the list of live and leaving VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) (list VMList, err error) {
	defer func() { err = oops.In("pimplatform").Wrapf(err, "read the list of VMs") }()
	err = c.get(ctx, 0, "/v1/vms", nil, &list)
	return list, err
}

func (c *Client) get(ctx context.Context, hold time.Duration, path string, query url.Values, into any) error {
	u := *c.base.JoinPath(path)
	u.RawQuery = query.Encode()
	isAnswered := false
	err := c.fetch.Get(ctx, &pimfetch.Request{URL: u, Hold: max(0, hold), MaxBytes: c.cfg.MaxBytes}, func(resp *http.Response) error {
		isAnswered = true
		if err := checkStatus(resp.StatusCode); err != nil {
			return err
		}
		return decode(resp.Body, c.cfg.MaxBytes, into)
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, pimfetch.ErrTooLarge):
		return ErrTooLarge // the length was announced
	case !isAnswered || errors.Is(err, pimfetch.ErrStalled):
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	default:
		return err
	}
}

func checkStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return pimfollow.ErrCompacted
	default:
		return &StatusError{Status: status}
	}
}

// decode decodes a single JSON value of at most limit bytes and rejects unknown fields and trailing data; it returns
// ErrTooLarge or ErrMalformed.
func decode(r io.Reader, limit int64, into any) error {
	body := &io.LimitedReader{R: r, N: limit + 1}
	dec := json.NewDecoder(&nestingReader{r: body})
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) && body.N > 0 {
			return nil
		}
		err = errors.Join(err, io.ErrUnexpectedEOF)
	}
	if body.N <= 0 {
		return ErrTooLarge
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
