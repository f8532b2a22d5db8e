package pimentry_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// get returns the status code and the body of a page of a VM's operator server.
func (f *fleet) get(i int, path string) (status int, body string) {
	f.t.Helper()
	is := is.New(f.t)
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", f.VMAddress(i), f.OpsPort, path))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(text)
}

// flowMetrics returns the metrics that change with packets and flows.
func (f *fleet) flowMetrics(i int) (lines []string) {
	_, body := f.get(i, "/metrics")
	for line := range strings.Lines(body) {
		for _, part := range []string{"packets", "flows", "slow_start", "send_errors", "answer"} {
			if strings.Contains(line, part) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// Guards against an explanation that sends a packet, or is counted or remembered as a flow, and against one that names another backend
// server or result than the flow that follows.
func TestExplainOfARunningVM(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 88, 1)
	var desk *platformtest.Host
	for _, h := range f.Hosts() {
		switch {
		case h.Service() != "desk":
		case desk == nil:
			desk = h
		default:
			h.Drain()
			is.NoErr(f.Publish(h))
		}
	}
	f.await("one backend server leaves", func() bool {
		return slices.ContainsFunc(f.nodes[1].Status().Hosts, func(h pimentry.HostStatus) bool { return h.Leaving })
	})

	// No caller has sent a packet yet, so that nothing else changes the metrics.
	before, opened, status := f.flowMetrics(1), desk.Counts(), f.nodes[1].Status()
	is.True(len(before) > 10)
	code, body := f.get(1, "/explain?address="+deskAddress.String())
	is.Equal(code, http.StatusOK)
	var e pimentry.Explanation
	is.NoErr(json.Unmarshal([]byte(body), &e))
	is.Equal(f.flowMetrics(1), before)
	is.Equal(desk.Counts(), opened)
	is.Equal(f.nodes[1].Status().Admission, status.Admission)

	is.Equal([]any{e.Name, e.Address, e.View.Ready, e.View.Fresh, e.Route.Shares[0].Service}, []any{"vm-1", deskAddress, true, true, e.Decisions[0].Service})
	is.Equal(len(e.Decisions), 1)
	d := e.Decisions[0]
	is.Equal([]any{d.Attempts, d.Action, d.Host, d.Equal}, []any{[]int{0, 1, 2}, "forward", desk.Name(), []string{desk.Name()}})
	is.Equal(len(d.Candidates), 2)
	for _, c := range d.Candidates {
		is.Equal([]any{c.Reason == "leaving", c.Open}, []any{c.Name != desk.Name(), 0})
	}
	next := f.open(deskAddress)
	is.Equal(f.request(next, "next"), "desk next")
	is.True(desk.Has(next))
	e, err := f.nodes[1].Explain(t.Context(), deskAddress)
	is.NoErr(err)
	for _, c := range e.Decisions[0].Candidates {
		is.Equal(c.Open, map[bool]int{true: 1}[c.Name == desk.Name()])
	}

	for _, bad := range []string{"", "?address=desk", "?address=198.18.0.1:443&attempt=1", "?address=198.18.0.1:443&address=198.18.0.1:443"} {
		code, _ := f.get(1, "/explain"+bad)
		is.Equal(code, http.StatusBadRequest)
	}
	code, body = f.get(1, "/explain?address="+otherAddress.String())
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(body, `"reason": "no_route"`))
	_, err = f.caller.Open(otherAddress)
	is.True(errors.Is(err, platformtest.ErrReset))
}

// Guards against a VM without a view that does not answer, since its loop does not run yet.
func TestExplainWithoutAView(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 90, 0)
	f.slowStart = &pimsettings.EntrySlowStart{Overage: 1.5, Slack: 1}
	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(1)
	e, err := f.nodes[1].Explain(t.Context(), deskAddress)
	is.NoErr(err)
	is.Equal([]any{e.View.Ready, e.Route == nil, e.Decisions[0].Reason}, []any{false, true, "no_view"})
}
