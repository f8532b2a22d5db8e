package pimentry_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimentry"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

func (f *fleet) metric(i int, name string) string {
	f.t.Helper()
	is := is.New(f.t)
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", f.VMAddress(i), f.OpsPort))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against opening packets at a backend server in slow start from a VM that does not own it, and against an owner that sends
// none, or more than the limit.
func TestOnlyTheOwnerSendsToABackendServerInSlowStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 86, 0)
	f.slowStart = &pimsettings.EntrySlowStart{Overage: 1.5, Slack: 1}
	f.start(1)
	f.start(2)
	f.putInRotation()

	// The only backend server of the service is in slow start for longer than the test; it can handle no request a second.
	var cold *platformtest.Host
	for _, h := range f.Hosts() {
		switch {
		case h.Service() != "desk":
		case cold == nil:
			cold = h
			h.SetCold(time.Hour)
			is.NoErr(f.Publish(h))
		default:
			h.Drain()
			is.NoErr(f.Publish(h))
		}
	}
	version := f.nodes[1].Status().Version
	f.Warmup = &platformtest.Warmup{Length: time.Hour}
	is.NoErr(f.Configure(platformtest.RouteConfig{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk"}))
	owns := func(i int) bool { return slices.Contains(f.nodes[i].Status().SlowStart, cold.Name()) }
	isInForce := func(i int) bool {
		s := f.nodes[i].Status()
		isCold := slices.ContainsFunc(s.Hosts, func(h pimentry.HostStatus) bool { return h.Name == cold.Name() && h.ColdMs > 0 })
		return s.Version > version && isCold
	}
	f.await("one owner", func() bool { return isInForce(1) && isInForce(2) && owns(1) != owns(2) })
	owner, other := 1, 2
	if owns(2) {
		owner, other = 2, 1
	}

	f.SetVMs(f.VMAddress(other))
	_, err := f.caller.Open(deskAddress)
	is.True(errors.Is(err, platformtest.ErrReset))
	is.Equal(cold.Counts().Opened, 0)
	is.True(f.metric(other, "pimentoyard_slow_start_denied_total") != "0")
	is.True(f.metric(other, `pimentoyard_packets_total{reason="slow_start"}`) != "0")

	f.SetVMs(f.VMAddress(owner))
	flow := f.open(deskAddress)
	is.Equal(f.request(flow, "cold"), "desk cold")
	before, started := cold.Counts().Opened, time.Now()
	for range 5 {
		if flow, err := f.caller.Open(deskAddress); err == nil {
			flow.Close()
		}
	}
	// At most one in a second; how many that are depends on the time that the test took.
	is.True(cold.Counts().Opened-before <= int(time.Since(started)/time.Second)+1)
}
