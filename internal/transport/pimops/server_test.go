package pimops

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimexplain"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/rs/zerolog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func get(t *testing.T, s *Server, path string) (status int, body string) {
	t.Helper()
	r, err := http.Get("http://" + s.Address().String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, string(text)
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name + ".golden"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || string(want) != got {
		t.Fatalf("%s: got\n%s\nwant\n%s%v", path, got, want, err)
	}
}

func testRouter(t *testing.T) *pimroute.Router {
	t.Helper()
	r := pimroute.New(pimroute.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	c := pimcontract.Contract{ID: 7, Customer: "clerks", Service: 1, Sources: []netip.Prefix{
		netip.MustParsePrefix("10.0.0.0/8"),
	}}
	c.Terms = pimcontract.Terms{RateLimit: 50, FlowLimit: 20, GuaranteedSlots: 3, ShareWeight: 2, Priority: 1}
	v := &pimview.View{Revision: 9, Contracts: map[pimid.ContractID]pimcontract.Contract{7: c}}
	v.Keys = []pimview.Key{{ID: 1, Secret: make([]byte, 16)}}
	if err := r.Update(0, v); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an endpoint that is missing or accepts a misspelt parameter, and against a server that listens on more
// than the loopback interface by default.
func TestEndpoints(t *testing.T) {
	is := is.New(t)
	router, set := testRouter(t), metrics.NewSet()
	pimexplain.RegisterRuleMetrics(set, router.Count)
	s, cleanup, err := New(t.Context(), Config{
		Address: ":0", Log: zerolog.Nop(), WriteMetrics: set.WritePrometheus,
		Status: func(context.Context) (any, error) { return map[string]int{"revision": 9}, nil },
		Explain: func(_ context.Context, parameters url.Values) (any, error) {
			if parameters.Get("service") == "busy" {
				return nil, ErrBusy
			}
			q, err := pimexplain.Parse(parameters)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrQuery, err)
			}
			return router.Explain(0, 1_700_000_000, q.Packet()), nil
		},
	})
	is.NoErr(err)
	is.True(netip.MustParseAddrPort(s.Address().String()).Addr().IsLoopback())
	for name, path := range map[string]string{
		"status": "/status", "metrics": "/metrics", "no_token": "/explain?service=1&source=10.1.2.3:4",
		"no_contract": "/explain?service=2&source=10.1.2.3:4&kind=post&tag=5",
		"bad_token":   "/explain?service=1&source=10.1.2.3:4&kind=get&token=AQ",
	} {
		status, body := get(t, s, path)
		is.Equal(status, http.StatusOK) // path
		golden(t, name, body)
	}
	status, _ := get(t, s, "/explain?service=busy")
	is.Equal(status, http.StatusTooManyRequests)
	for _, bad := range []string{
		"", "service=1", "service=1&source=10.1.2.3:4&sauce=1", "service=70000&source=10.1.2.3:4",
		"service=1&source=10.1.2.3:4&kind=put", "service=1&source=10.1.2.3:4&token=%21", "service=1&source=10.1.2.3:4&tag=x",
	} {
		status, _ := get(t, s, "/explain?"+bad)
		is.Equal(status, http.StatusBadRequest) // bad query
	}
	is.NoErr(cleanup(t.Context()))
	_, _, err = New(t.Context(), Config{Address: "nonsense"})
	is.True(err != nil)
}

// Guards against an error of Status that is served with code 200, against default metrics that are empty, and against
// an endpoint that is served although its function is nil.
func TestStatusErrorAndDefaultMetrics(t *testing.T) {
	is := is.New(t)
	s, cleanup, err := New(t.Context(), Config{
		Address: "127.0.0.1:0", Log: zerolog.Nop(),
		Status: func(context.Context) (any, error) { return nil, errors.New("no view") },
	})
	is.NoErr(err)
	defer func() { is.NoErr(cleanup(context.Background())) }()
	status, _ := get(t, s, "/status")
	is.Equal(status, http.StatusInternalServerError)
	_, body := get(t, s, "/metrics")
	is.True(strings.Contains(body, "go_goroutines"))
	status, _ = get(t, s, "/explain")
	is.Equal(status, http.StatusNotFound)
}
