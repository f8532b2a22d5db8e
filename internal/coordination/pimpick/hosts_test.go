package pimpick

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func newTestHosts(n int, change func(h *Host)) (t *Hosts, list []Host) {
	t = NewHosts(DefaultConfig(1), PowerOfTwo{})
	for i := range n {
		h := Host{ID: pimid.BackendID(i + 1), Generation: 1, Service: 1, MaxConnections: 100}
		if change != nil {
			change(&h)
		}
		list = append(list, h)
	}
	t.SetHosts(0, list)
	return t, list
}

// picks makes n choices and counts them by host.
func picks(t *Hosts, now pimclock.Instant, n int) map[pimid.BackendID]int {
	rnd, counts := rand.New(rand.NewPCG(1, 1)), map[pimid.BackendID]int{}
	for range n {
		if id, _, err := t.Pick(now, 1, rnd); err == nil {
			counts[id]++
		}
	}
	return counts
}

// Guards against new flows on hosts that must not receive any.
func TestExcludedHostsGetNoFlows(t *testing.T) {
	cases := []struct {
		name string
		do   func(t *Hosts, list []Host)
	}{
		{"leaving", func(t *Hosts, list []Host) { list[0].Leaving = true; t.SetHosts(0, list) }},
		{"draining, also after a later status without it", func(t *Hosts, _ []Host) {
			t.SetStatus(1, 1, true, false)
			t.SetStatus(1, 1, false, false)
		}},
		{"failed, announced by its owner", func(t *Hosts, _ []Host) { t.SetStatus(1, 1, false, true) }},
		{"ejected after consecutive failures", func(t *Hosts, _ []Host) {
			for range 5 {
				t.Observe(0, 1, false)
			}
		}},
		{"at the connection limit", func(t *Hosts, _ []Host) { t.Report(1, 1, 100, 0) }},
		{"removed", func(t *Hosts, list []Host) { t.SetHosts(0, list[1:]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			hosts, list := newTestHosts(3, nil)
			c.do(hosts, list)
			counts := picks(hosts, 0, 30)
			is.Equal(counts[1], 0)            // the excluded host
			is.True(counts[2]+counts[3] > 28) // the others take the flows
		})
	}
}

// Guards against the ejection of more than half of the hosts and against an ejection time that does not grow.
func TestEjectionLimits(t *testing.T) {
	is := is.New(t)
	hosts, _ := newTestHosts(4, nil)
	for id := range pimid.BackendID(4) {
		for range 20 {
			hosts.Observe(0, id+1, false)
		}
	}
	is.Equal(len(hosts.Usable(0, 1)), 2) // half of the hosts stay
	now := pimclock.Instant(time.Second)
	is.Equal(len(hosts.Usable(now, 1)), 4) // the first ejection lasts one second
	hosts.Observe(now, 1, false)
	is.Equal(len(hosts.Usable(now.Add(2*time.Second-1), 1)), 3) // the next failure doubles it
	is.Equal(len(hosts.Usable(now.Add(2*time.Second), 1)), 4)
}

// Guards against the use of reports that are older than the last one or belong to another generation of the host.
func TestOutdatedReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	hosts, _ := newTestHosts(2, func(h *Host) { h.Generation = 2 })
	now := pimclock.Instant(10 * time.Second)
	hosts.Report(1, 2, 100, now)
	hosts.Report(1, 2, 0, now-1) // older report
	hosts.Report(1, 1, 0, now+1) // previous generation
	is.Equal(picks(hosts, now, 5)[1], 0)
}

// Guards against a burst of flows to a host that has just started.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	hosts, _ := newTestHosts(4, func(h *Host) { h.MaxConnections = 100_000; h.Cold = h.ID == 1 })
	const flows = 4000
	for id := range pimid.BackendID(3) {
		hosts.Report(id+2, 1, 1000, 0)
	}
	fraction := float64(picks(hosts, pimclock.Instant(time.Second), flows)[1]) / flows
	// Two random choices give the emptiest of four hosts at most 2/4 of the flows; after 1 s of the slow start of 10 s
	// it may receive a tenth of that, 0.05, plus a margin for chance.
	is.True(fraction > 0 && fraction < 0.06)
}

// Guards against a choice without a usable host.
func TestNoHost(t *testing.T) {
	is := is.New(t)
	hosts, _ := newTestHosts(1, func(h *Host) { h.Leaving = true })
	for _, service := range []pimid.ServiceID{1, 2} {
		_, _, err := hosts.Pick(0, service, rand.New(rand.NewPCG(1, 1)))
		is.True(errors.Is(err, ErrNoHost))
	}
}

// BenchmarkPickHost measures one choice among 15 hosts.
func BenchmarkPickHost(b *testing.B) {
	hosts, _ := newTestHosts(15, func(h *Host) { h.MaxConnections = 1 << 30 })
	rnd := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, err := hosts.Pick(pimclock.Instant(i), 1, rnd); err != nil {
			b.Fatal(err)
		}
	}
}
