package pimnode

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// Guards against a backend server that is used again although it drains, because of the answer to a poll that waited while this VM stood
// still.
func TestAnswerToAPollThatWaitedIsIgnored(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	clock := &pimclock.Manual{}
	n.clock = clock
	stand := callTimeout + 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		clock.Advance(stand)
		_, _ = io.WriteString(w, `{"generation":3}`) // a lost connection fails the poll
	}))
	defer server.Close()
	b := pimview.Backend{ID: 7, Generation: 3, HTTPAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	n.pollHost(t.Context(), b)
	_, isKnown := n.members.BackendStatus(b.ID)
	is.True(!isKnown)
	stand = 0
	n.pollHost(t.Context(), b)
	_, isKnown = n.members.BackendStatus(b.ID)
	is.True(isKnown)
}
