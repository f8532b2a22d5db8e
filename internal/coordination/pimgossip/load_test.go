package pimgossip

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against a report with a speed that is lost with the next report without one, counted with the wrong weight, kept for ever
// or taken as it is from a damaged heartbeat, and against misses that are not passed on.
func TestReportedSpeedsAndMisses(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(3 * time.Second)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-0", "ikeja", netip.MustParseAddrPort("10.1.0.1:7720")
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	report := func(from string, loads ...pimmesh.HostLoad) {
		m.Receive(now, &pimmesh.Heartbeat{
			Name: from, DataCentre: "ikeja", Address: netip.MustParseAddrPort(from), SentAt: time.Duration(now), Loads: loads,
		}, View{})
	}
	const a, b, c pimcatalog.HostID = 1, 2, 3
	report("10.1.0.2:7720", pimmesh.HostLoad{ID: a, Busy: 100, Slowness: 60, Weight: 5}, pimmesh.HostLoad{ID: b, Misses: 1, MissedFor: 300 * time.Millisecond})
	report("10.1.0.3:7720", pimmesh.HostLoad{ID: a, Slowness: 20, Weight: 15}, pimmesh.HostLoad{ID: b, Misses: 1, MissedFor: 100 * time.Millisecond},
		pimmesh.HostLoad{ID: c, Slowness: -100_000, Weight: 100_000})
	report("10.1.0.4:7720", pimmesh.HostLoad{ID: c, Weight: -5, Misses: -1})
	now = now.Add(time.Second)
	report("10.1.0.2:7720", pimmesh.HostLoad{ID: a, Busy: 200})
	loads := m.Loads(now)
	is.Equal(loads[a].Busy, 2.0)
	is.Equal(loads[a].Weight, 20.0)
	is.True(loads[a].Slowness > 0.29 && loads[a].Slowness < 0.31)
	is.Equal(loads[b].Misses, 1) // the other report was replaced by one without misses
	is.Equal(loads[b].MissedAt, now.Add(-1100*time.Millisecond))
	is.Equal(loads[c].Slowness, -maxSlowness*1.0)
	is.Equal(loads[c].Weight, maxWeight*1.0)
	is.Equal(loads[c].Misses, 0)
	now = now.Add(speedTTL + 1)
	report("10.1.0.2:7720", pimmesh.HostLoad{ID: a, Busy: 200})
	is.Equal(m.Loads(now)[a].Weight, 0.0)
}

// Guards against damaged loads that make a backend server look alive in the future, or less than idle, so that it attracts all flows.
func TestNegativeLoadsAreIgnored(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(inForceWithin)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-0", "ikeja", netip.MustParseAddrPort("10.0.0.1:7720")
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	m.Receive(now, &pimmesh.Heartbeat{
		Name: "vm-1", DataCentre: "ikeja", Address: netip.MustParseAddrPort("10.0.0.2:7720"), Incarnation: 1,
		Loads: []pimmesh.HostLoad{
			{ID: 1, Busy: -100},
			{ID: 2, Open: -5},
			{ID: 3, SilentFor: -time.Hour},
			{ID: 4, SilentFor: math.MinInt64},
			{ID: 5, Busy: 100, Open: 2, SilentFor: time.Second},
		},
	}, View{})
	loads := m.Loads(now)
	is.Equal(len(loads), 1)
	is.Equal(loads[5].AliveAt, now.Add(-time.Second-transitAllowance))
}

// Guards against backend servers that look idle because the VM that uses them has not reported recently.
func TestHasAllLoads(t *testing.T) {
	is := is.New(t)
	cfg := DefaultSettings(3 * time.Second)
	cfg.Name, cfg.DataCentre, cfg.Address = "vm-0", "ikeja", netip.MustParseAddrPort("10.1.0.1:7720")
	m, now := New(cfg, rand.New(rand.NewPCG(1, 1))), pimclock.Instant(time.Hour)
	hear := func(from string) {
		m.Receive(now, &pimmesh.Heartbeat{
			Name: from, DataCentre: "ikeja", Address: netip.MustParseAddrPort(from), SentAt: time.Duration(now),
		}, View{})
	}
	is.True(m.HasAllLoads(now)) // alone
	hear("10.1.0.2:7720")
	hear("10.1.0.3:7720")
	is.True(m.HasAllLoads(now))
	now = now.Add(cfg.LoadTTL + 1)
	hear("10.1.0.2:7720")
	is.True(len(m.Names(now)) == 2 && !m.HasAllLoads(now))
	hear("10.1.0.3:7720")
	is.True(m.HasAllLoads(now))
}
