package pimplace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// state prints what a placer remembers from one flow to the next, without its random numbers.
func (a *admitting) state() string {
	admission := a.admission
	activity, pressure, demands := map[pimcatalog.Service]pimadmit.Activity{}, map[pimcatalog.Service]pimadmit.Pressure{}, map[pimcatalog.Service]demand{}
	fills := map[pimcatalog.Service]meanFill{}
	for s, v := range admission.fills {
		fills[s] = *v
	}
	for s, v := range admission.activity {
		activity[s] = *v
	}
	for s, v := range admission.pressure {
		pressure[s] = *v
	}
	for s, v := range a.demands {
		demands[s] = *v
	}
	return fmt.Sprint(
		activity, pressure, demands, slices.Sorted(maps.Keys(admission.allotments)), admission.catalog, admission.deferred, a.isCounting,
		fills, admission.away, admission.isPartial, a.indexed, slices.Sorted(maps.Keys(a.indexes)),
	)
}

// explain explains a flow of a route of the configuration.
func (a *admitting) explain(now pimclock.Instant, route, attempt int) Explanation {
	return a.Explain(now, a.catalog, "desk", &a.cfg.Routes[route], &pimpacket.Packet{Flags: pimpacket.Open, Attempt: attempt}, nil)
}

// twins are two placers in the same state, of which only the first one explains.
type twins struct {
	explaining, plain *admitting
	rng               *rand.Rand
	now               pimclock.Instant
	// source is that of the random numbers of explaining.
	source *rand.PCG
	// mixedTies is the number of steps in which chance could also decide the rule.
	mixedTies int
}

func newTwins(isMixed bool) *twins {
	hosts := append(deskHosts(6, 1, "ikeja"), deskHosts(3, 11, "apapa")...)
	hosts[2].ColdUntil = pimclock.Instant(20 * time.Second)
	return newTwinsOf(isMixed, hosts)
}

func newTwinsOf(isMixed bool, hosts []*pimcatalog.Host) *twins {
	vms := []string{"a", "b"}
	w := &twins{explaining: newAdmitting(vms, hosts...), plain: newAdmitting(vms, hosts...), rng: rand.New(rand.NewPCG(3, 4))}
	w.source = rand.NewPCG(1, 1)
	w.explaining.rng = rand.New(w.source)
	w.explaining.admission.choice = pimadmit.NewChoice(w.explaining.admission.cfg, w.explaining.rng)
	for _, a := range []*admitting{w.explaining, w.plain} {
		a.LimitSlowStart(&fakeSlowStart{})
		if !isMixed {
			a.cfg.Routes[1].Priority = a.cfg.Routes[0].Priority
			a.catalog = pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(a.cfg), hosts)
		}
	}
	return w
}

// setLoads sets random loads of a third of the backend servers.
func (w *twins) setLoads() {
	for _, h := range w.explaining.catalog.Hosts() {
		if w.rng.IntN(3) > 0 {
			continue
		}
		load := Load{BusyElsewhere: float64(w.rng.IntN(14))}
		load.Vacant = float64(w.rng.IntN(3)) / 4
		load.Busy, load.Open, load.Suspect = w.rng.IntN(14), w.rng.IntN(3), w.rng.IntN(40) == 0
		if h.DataCentre != "ikeja" {
			load.Busy = w.rng.IntN(2) // a VM sends hardly any requests to a data centre of unknown load
		}
		w.explaining.loads[h.ID], w.plain.loads[h.ID] = load, load
	}
}

// explainNext explains a packet with the random numbers that the next call of Place uses.
func (w *twins) explainNext(route int, pkt *pimpacket.Packet) Explanation {
	a, source := w.explaining, *w.source
	return a.explainWith(rand.New(&source), w.now, a.catalog, "desk", &a.cfg.Routes[route], pkt, nil)
}

// hasMixedTie reports whether two candidates with the same wait have different fills, because one of them is in slow start. Which of them is
// chosen, and thus the rule, is left to chance.
func hasMixedTie(e *Explanation) bool {
	for i, x := range e.Candidates {
		for _, y := range e.Candidates[i+1:] {
			isTie := x.Kind == y.Kind && x.IsFull == y.IsFull && x.Wait == y.Wait && x.open == y.open
			if isTie && x.Value != y.Value {
				return true
			}
		}
	}
	return false
}

// step explains and places a random packet, and returns the rule.
func (w *twins) step(is *is.I) string {
	w.now = w.now.Add(10 * time.Millisecond)
	w.setLoads()
	a, route, pkt := w.explaining, w.rng.IntN(2), &pimpacket.Packet{Flags: pimpacket.Open, Attempt: w.rng.IntN(3)}
	pkt.Flow.Caller = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(w.rng.IntN(3)))
	isReported := w.rng.IntN(4) > 0
	w.explaining.SetReported(isReported)
	w.plain.SetReported(isReported)
	before := a.state()
	e := a.Explain(w.now, a.catalog, "desk", &a.cfg.Routes[route], pkt, nil)
	is.Equal(a.state(), before)
	is.Equal(len(e.Candidates), len(a.catalog.Hosts()))
	exact := w.explainNext(route, pkt)
	is.Equal(a.state(), before)
	placed := a.Place(w.now, a.catalog, &a.cfg.Routes[route], pkt)
	is.Equal(exact.Placement, placed)
	is.Equal(placed, w.plain.Place(w.now, w.plain.catalog, &w.plain.cfg.Routes[route], pkt))
	if hasMixedTie(&e) {
		w.mixedTies++
		return placed.Rule
	}
	is.Equal([]any{e.Placement.Reason, e.Placement.Later, e.Placement.Rule}, []any{placed.Reason, placed.Later, placed.Rule})
	is.Equal(placed.Host == nil, e.Placement.Host == nil)
	for _, h := range []*pimcatalog.Host{placed.Host, e.Placement.Host} {
		is.True(h == nil || slices.ContainsFunc(e.Candidates, func(c Candidate) bool { return c.Host == h && c.IsTie }))
	}
	return placed.Rule
}

// Guards against an explanation that differs from the decision on the next packet, and against one that changes later decisions: it
// would count a flow that does not exist, or use a random number.
func TestExplanationIsTheDecision(t *testing.T) {
	for _, isMixed := range []bool{true, false} {
		t.Run(fmt.Sprint(isMixed), func(t *testing.T) {
			is, w, rules := is.New(t), newTwins(isMixed), map[string]int{}
			for range 3000 {
				rules[w.step(is)]++
			}
			is.True(w.mixedTies < 10) // nearly all explanations have a fixed seed and the rule of the decision
			for _, rule := range []pimadmit.Rule{
				pimadmit.OwnSlot, pimadmit.SharedSlot, pimadmit.OwnQueue, pimadmit.SharedQueue, pimadmit.OtherDataCentre, pimadmit.LaterCopy, pimadmit.NoRoom,
			} {
				is.True(!isMixed || rules[rule.String()] > 0) // the run covers the rule
			}
		})
	}
}

// Guards against an explanation that leaves out why a backend server gets no flow, and against a count of denied opening packets that
// rises without one.
func TestExplanationNamesTheReasonOfEachExclusion(t *testing.T) {
	is := is.New(t)
	hosts := append(deskHosts(3, 1, "ikeja"), deskHosts(1, 11, "apapa")...)
	hosts[0].Leaving, hosts[1].ColdUntil = true, pimclock.Instant(10*time.Second)
	cfg := deskConfig()
	cfg.SlowStart = []pimcatalog.SlowStart{{Service: "desk", PerSecond: 2}}
	a := newAdmitting([]string{"a"}, hosts...)
	a.catalog = pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(cfg), hosts, "apapa")
	bound := &fakeSlowStart{}
	a.LimitSlowStart(bound)
	a.set(3, 5, 0, 0) // no free slot, so that the other data centre is examined
	var reasons []pimsteer.Reason
	var kinds []CandidateKind
	for _, c := range a.explain(0, 0, 0).Candidates {
		kinds, reasons = append(kinds, c.Kind), append(reasons, c.Reason)
	}
	is.Equal(kinds, []CandidateKind{CandidateExcluded, CandidateExcluded, CandidateOwn, CandidateExcluded})
	is.Equal(reasons, []pimsteer.Reason{pimsteer.ReasonNoHost, pimsteer.ReasonSlowStart, pimsteer.ReasonPlaced, pimsteer.ReasonEvacuated})
	is.Equal(bound.denied, 0)
	is.True(a.place(0, 0).Host != nil)
	is.Equal(bound.denied, 1)
}

// Guards against a limit, a level or places other than those that the decision compares.
func TestExplanationOfAdmission(t *testing.T) {
	is := is.New(t)
	a := newAdmitting([]string{"a"}, deskHosts(1, 1, "ikeja")...)
	is.True(a.place(0, 0).Host != nil)
	a.set(1, 6, 6, 0) // a fill of 0.6 is the limit of the less urgent route
	urgent, less := a.explain(0, 0, 0), a.explain(0, 1, 0)
	is.Equal(urgent.Admission.Level, pimadmit.Level{Rank: 0, Count: 1})
	is.Equal(less.Admission.Level, pimadmit.Level{Rank: 1, Count: 1}) // its own priority has no recent flows
	is.Equal([]float64{urgent.Admission.Limit, less.Admission.Limit}, []float64{1, 0.6})
	is.Equal([]float64{float64(less.Admission.Places), float64(less.Admission.Filled)}, []float64{10, 6})
	is.Equal(less.Candidates[0].Value, 0.6)
	is.Equal(less.Candidates[0].Places, pimadmit.Places(10))
	is.Equal(less.Placement, pimsteer.Placement{Reason: pimsteer.ReasonNoRoom, Rule: "no_room"})
	is.Equal(urgent.Placement.Rule, "own_queue")
	is.True(!urgent.Admission.IsPressureHigh)
}

// Guards against an explanation of a further copy that differs from the decision: this VM knows that it has forwarded no copy.
func TestExplanationOfFurtherCopies(t *testing.T) {
	for route := range 2 { // flows of the first one are left to the next copy, those of the second one are refused
		is := is.New(t)
		a := newAdmitting([]string{"a"}, deskHosts(1, 1, "ikeja")...)
		is.True(a.place(0, 0).Host != nil) // the first route is the most urgent one with recent flows
		a.set(1, 10, 10, 0)
		var explained, placed []pimsteer.Placement
		var before *Explanation
		for attempt := range 3 {
			e := a.Explain(0, a.catalog, "desk", &a.cfg.Routes[route], &pimpacket.Packet{Flags: pimpacket.Open, Attempt: attempt}, before)
			explained, before = append(explained, e.Placement), &e
		}
		for attempt := range 3 {
			placed = append(placed, a.place(route, attempt))
		}
		is.Equal(explained, placed)
		is.Equal(placed[1].Host, nil)
		is.Equal(placed[0].Later, route == 0)
	}
}

// Guards against an explanation of a large service that keeps an index, forgets backend servers of other data centres, or uses a random
// number of the sample.
func TestExplanationOfALargeServiceRecordsNothing(t *testing.T) {
	for _, isMixed := range []bool{true, false} {
		is := is.New(t)
		hosts := append(deskHosts(maxLooks, 1, "ikeja"), deskHosts(20, 1001, "apapa")...)
		w := newTwinsOf(isMixed, hosts)
		recorded, forgotten := 0, 0
		for i := range 400 {
			w.now = w.now.Add(10 * time.Millisecond)
			w.setLoads()
			for _, h := range hosts[:maxLooks] { // nothing is free, so that other data centres are examined
				load := w.explaining.loads[h.ID]
				load.Busy, load.BusyElsewhere, load.Vacant = 20, 20, 0
				w.explaining.loads[h.ID], w.plain.loads[h.ID] = load, load
			}
			a, route, pkt := w.explaining, i%2, &pimpacket.Packet{Flags: pimpacket.Open, Attempt: w.rng.IntN(3)}
			before, away := a.state(), slices.Clone(a.admission.away["desk"])
			e := a.Explain(w.now, a.catalog, "desk", &a.cfg.Routes[route], pkt, nil)
			is.Equal(a.state(), before)
			h := e.Placement.Host
			is.True(h == nil || slices.ContainsFunc(e.Candidates, func(c Candidate) bool { return c.Host == h && c.IsTie }))
			exact := w.explainNext(route, pkt)
			is.Equal(a.state(), before)
			placed := a.Place(w.now, a.catalog, &a.cfg.Routes[route], pkt)
			is.Equal(placed, w.plain.Place(w.now, w.plain.catalog, &w.plain.cfg.Routes[route], pkt))
			is.Equal(exact.Placement, placed)
			now := a.admission.away["desk"]
			for _, o := range away {
				if !slices.Contains(now, o) {
					forgotten++
				}
			}
			recorded = max(recorded, len(now))
		}
		is.Equal(recorded > 0 && forgotten > 0, isMixed) // the run covers what apply remembers and forgets
	}
}

// Guards against an explanation that adds an index to those of the placer, which its copy shares once one service of the catalog has one.
func TestExplanationKeepsNoIndex(t *testing.T) {
	is := is.New(t)
	hosts := append(deskHosts(maxLooks+1, 1, "ikeja"), deskHosts(maxLooks+1, 1001, "ikeja")...)
	for _, h := range hosts[maxLooks+1:] {
		h.Service = "video"
	}
	a := newAdmitting([]string{"a"}, hosts...)
	video := routeOf(1)
	video.Shares = []pimcatalog.Share{{Service: "video"}}
	a.cfg.Routes, a.cfg.Services = append(a.cfg.Routes, video), append(a.cfg.Services, "video")
	a.catalog = pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(a.cfg), hosts)
	is.True(a.place(2, 0).Host != nil)
	before := a.state()
	a.Explain(0, a.catalog, "desk", &a.cfg.Routes[0], openingOf(0), nil)
	is.Equal(a.state(), before)
	is.True(a.place(0, 0).Host != nil)
	is.Equal(len(a.indexes), 2)
}

// Guards against a service that may be chosen and is not explained, and against one that can not.
func TestServicesOfARoute(t *testing.T) {
	for _, test := range []struct{ shares, want []pimcatalog.Share }{
		{nil, nil},
		{[]pimcatalog.Share{{Service: "a"}, {Service: "b"}}, []pimcatalog.Share{{Service: "a"}}},
		{[]pimcatalog.Share{{Service: "a", Weight: -1}, {Service: "b", Weight: 3}}, []pimcatalog.Share{{Service: "b", Weight: 3}}},
		{
			[]pimcatalog.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}, {Service: "c"}},
			[]pimcatalog.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}},
		},
	} {
		is := is.New(t)
		is.Equal(append([]pimcatalog.Share{}, Services(&pimcatalog.Route{Shares: test.shares})...), append([]pimcatalog.Share{}, test.want...))
	}
}
