package pimhttp

import (
	"net/http"
	"strconv"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// RequestIDHeader is the header with the number of a request, which a backend server repeats in its response.
const RequestIDHeader = "Request-Id"

// setRequestID numbers a request and returns the number. A backend server that repeats it shows which request a response
// belongs to. Otherwise, a second copy of an earlier response on a reused connection would be taken for the answer to the next
// request, so each request to such a backend server gets a connection of its own.
func (c *Client) setRequestID(req *http.Request, b pimview.Backend) (id string) {
	id = c.idPrefix + strconv.FormatUint(c.lastID.Add(1), 16)
	req.Header.Set(RequestIDHeader, id)
	_, repeats := c.repeatsIDs.Load(b.HTTPAddress)
	req.Close = !repeats
	return id
}

// checkRequestID returns ErrMismatch if a response may belong to another request than that with the number id.
func (c *Client) checkRequestID(resp *http.Response, b pimview.Backend, id string, isReused bool) error {
	switch got := resp.Header.Get(RequestIDHeader); {
	case got == id:
		c.repeatsIDs.Store(b.HTTPAddress, struct{}{})
		return nil
	case got == "" && !isReused:
		c.repeatsIDs.Delete(b.HTTPAddress)
		return nil
	default:
		c.repeatsIDs.Delete(b.HTTPAddress)
		return ErrMismatch
	}
}
