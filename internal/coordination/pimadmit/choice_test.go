package pimadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Guards against rules in another order, or with other limits, than the page gives.
func TestDecide(t *testing.T) {
	type load map[Kind]float64
	urgent, less := Level{Rank: 0, Count: 2}, Level{Rank: 1, Count: 2}
	cases := []struct {
		name         string
		level        Level
		timeout      time.Duration
		loads        load
		isRemoteOpen bool
		want         Rule
	}{
		{name: "no backend server", level: urgent, want: NoCandidate},
		{name: "own slot first", level: less, loads: load{Own: 0.19, Shared: 0, Remote: 0, Avoided: 0}, want: OwnSlot},
		{name: "slot of another share", level: less, loads: load{Own: 0.2, Shared: 0.74, Remote: 0}, isRemoteOpen: true, want: SharedSlot},
		{name: "own queue", level: less, loads: load{Own: 0.59, Shared: 0.75, Remote: 0}, isRemoteOpen: true, want: OwnQueue},
		{name: "reserve is closed to less urgent", level: less, loads: load{Own: 0.6, Shared: 1.5}, want: NoRoom},
		{name: "reserve is open to urgent", level: urgent, loads: load{Own: 0.99, Shared: 2.5}, want: OwnQueue},
		{name: "queue of another share", level: urgent, loads: load{Own: 1, Shared: 1.4}, want: SharedQueue},
		{name: "queue of another share is full", level: urgent, loads: load{Own: 1, Shared: 1.5}, want: NoRoom},
		{name: "queue of another share, less urgent", level: less, loads: load{Own: 1, Shared: 0.8}, want: SharedQueue},
		{name: "no own share", level: less, loads: load{Shared: 0.8}, want: SharedQueue},
		{name: "other data centre", level: less, loads: load{Own: 1, Shared: 5, Remote: 0.4}, isRemoteOpen: true, want: OtherDataCentre},
		{name: "other data centre is closed", level: urgent, loads: load{Own: 1, Shared: 5, Remote: 0.4}, want: NoRoom},
		{name: "no backend server at home", level: less, loads: load{Remote: 9, Avoided: 0}, want: OtherDataCentre},
		{name: "only avoided ones", level: less, loads: load{Avoided: 120}, want: LastResort},
		{name: "full, avoided ones left", level: less, loads: load{Own: 1, Avoided: 20}, want: NoRoom},
		{name: "too late for any", level: urgent, timeout: 600 * time.Millisecond, loads: load{Own: 0, Shared: 0, Remote: 0}, want: Expired},
		{name: "just in time", level: urgent, timeout: 601 * time.Millisecond, loads: load{Own: 0}, want: OwnSlot},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			choice := NewChoice(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
			demand := &Demand{Level: c.level, Timeout: c.timeout, Attempt: 2}
			choice.Reset(demand)
			for k, l := range c.loads {
				choice.Add(k, &pimcatalog.Host{ID: pimcatalog.HostID(k + 1)}, Use{Fill: l, Wait: l})
			}
			h, rule := choice.Decide(demand, c.isRemoteOpen)
			is.Equal(rule.String(), c.want.String())
			is.Equal(h == nil, c.want >= NoRoom)
		})
	}
}

// Guards against VMs that all choose the first of several equal backend servers.
func TestEqualCandidatesAreChosenEvenly(t *testing.T) {
	is := is.New(t)
	choice := NewChoice(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	hosts, chosen := hostsWith(2, 2, 2, 2, 2), map[*pimcatalog.Host]int{}
	const rounds = 5000
	for range rounds {
		choice.Reset(&Demand{})
		for _, h := range hosts {
			choice.Add(Own, h, Use{})
		}
		h, _ := choice.Decide(&Demand{}, false)
		chosen[h]++
	}
	for _, h := range hosts {
		is.True(chosen[h] > rounds/5*8/10 && chosen[h] < rounds/5*12/10)
	}
}

// Guards against rules without a name, which logs and metrics show.
func TestRulesHaveNames(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for r := range ruleCount {
		is.True(r.String() != "" && !seen[r.String()])
		seen[r.String()] = true
	}
}
