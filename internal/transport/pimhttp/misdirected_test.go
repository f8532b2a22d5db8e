package pimhttp

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against a request that runs on a server of the wrong service: that server has taken over the address, and the
// view of this VM does not know it yet.
func TestRequestNamesItsService(t *testing.T) {
	is := is.New(t)
	names := map[pimid.ServiceID]string{1: "order_desk", 2: "drawings"}
	ran := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Host != names[2] {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		ran++
	}))
	defer server.Close()
	client, cleanup := NewClient(Config{HostHeader: func(id pimid.ServiceID) string { return names[id] }})
	defer cleanup()
	do := func(service pimid.ServiceID) Result {
		b := pimview.Backend{
			Service: service, HTTPAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		}
		deadline := pimclock.Boot{}.Now().Add(time.Minute)
		return client.Do(t.Context(), b, http.MethodPost, "/order", []byte("x"), deadline)
	}
	is.Equal(do(1).Outcome, pimedge.OutcomeNotRun)
	is.Equal(ran, 0)
	is.Equal(do(2).Outcome, pimedge.OutcomeAnswered)
	is.Equal(ran, 1)
}
