package pimdrain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainBound is the time after which a leaving backend server receives no new work (R6 of docs/design.md).
const drainBound = 5 * time.Second

// worst returns the longest times to the last new flow and to the last request over the given number of seeds.
func worst(t *testing.T, cfg Config, seeds uint64) (flow, request time.Duration) {
	t.Helper()
	for cfg.Seed = range seeds {
		r := Run(cfg)
		if r.Flows == 0 || r.Requests == 0 {
			t.Fatal("the backend server had no flows or no requests before its drain")
		}
		flow, request = max(flow, r.LastFlow), max(request, r.LastRequest)
	}
	return flow, request
}

// TestDrainReachesAllVMs guards against a VM that still sends new work to a leaving backend server after 5 s while
// the platform is down.
func TestDrainReachesAllVMs(t *testing.T) {
	cases := []struct {
		name  string
		cfg   Config
		seeds uint64
	}{
		{"3 VMs, probes only", Config{Nodes: 3, Loss: 0.02}, 50},
		{"8 VMs, forwarded at once", Config{Nodes: 8, Loss: 0.2, Push: 3}, 50},
		{"380 VMs, forwarded at once", Config{Nodes: 380, Loss: 0.2, Push: 3}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			flow, request := worst(t, c.cfg, c.seeds)
			t.Logf("last new flow after %v, last new request after %v", flow, request)
			is.True(flow <= drainBound)     // flows
			is.True(request <= time.Second) // requests stop with the owner's next load poll
		})
	}
}

// TestProbesAloneAreTooSlow guards against a check that accepts everything: in a large data centre, updates that are
// carried only by the probes exceed the bound.
func TestProbesAloneAreTooSlow(t *testing.T) {
	is := is.New(t)
	flow, _ := worst(t, Config{Nodes: 380, Loss: 0.2}, 5)
	t.Logf("last new flow after %v", flow)
	is.True(flow > drainBound)
}
