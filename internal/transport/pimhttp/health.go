package pimhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Health is the response of a backend server to GET /health.
type Health struct {
	// RoundTrip is the time from the call to the end of the response, including the setup of the connection.
	RoundTrip time.Duration
}

// Load is the response of a backend server to GET /load.
type Load struct {
	InFlight    pimid.Slots       `json:"in_flight"`
	Connections pimid.Connections `json:"connections"`
	Draining    bool              `json:"draining"`
	Generation  pimid.Generation  `json:"generation"`
}

// StatusError is an unexpected HTTP status of a health or load endpoint.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// maxReport is the largest number of bytes that are read from a response of the health or load endpoint.
const maxReport = 4 << 10

// Health requests GET /health on a new connection; it returns a *StatusError or the error of the connection.
func (c *Client) Health(ctx context.Context, b pimview.Backend) (h Health, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "get health")
		}
	}()
	start := c.cfg.Clock.Now()
	if _, err = c.getReport(ctx, b, "/health"); err != nil {
		return Health{}, err
	}
	return Health{RoundTrip: c.cfg.Clock.Now().Sub(start)}, nil
}

// Load requests GET /load on a new connection; it returns a *StatusError, the error of the connection or of the
// decoder.
func (c *Client) Load(ctx context.Context, b pimview.Backend) (l Load, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "get load")
		}
	}()
	body, err := c.getReport(ctx, b, "/load")
	if err != nil {
		return Load{}, err
	}
	return decodeLoad(body)
}

// getReport sends a GET request on a new connection and returns at most maxReport bytes of the response body. It takes
// at most ProbeTimeout.
func (c *Client) getReport(ctx context.Context, b pimview.Backend, path string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ProbeTimeout)
	defer cancel()
	a := &attempt{deadline: c.cfg.Clock.Now().Add(c.cfg.ProbeTimeout)}
	req, err := newRequest(a.context(ctx), b, http.MethodGet, path, nil, c.cfg.ProbeTimeout)
	if err != nil {
		return nil, err
	}
	resp, err := c.probes.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxReport))
}
