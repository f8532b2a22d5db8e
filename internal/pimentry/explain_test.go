package pimentry

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimplace"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimramp"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/pimsettings"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimops"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var explained = netip.MustParseAddrPort("198.18.0.1:443")

// explainedEdge is an edge without sockets, with an urgent and a less urgent route.
type explainedEdge struct {
	*edge
	clock  *pimclock.Manual
	routes []pimcatalog.Route
	hosts  []*pimcatalog.Host
}

func newExplainedEdge(shares ...pimcatalog.Share) *explainedEdge {
	x := &explainedEdge{clock: &pimclock.Manual{}}
	x.clock.Advance(time.Hour)
	n := &Node{clock: x.clock, set: metrics.NewSet()}
	n.cfg.Node = pimsettings.EntryNode{Name: "vm-1", DataCentre: "ikeja"}
	n.registry = pimregistry.New(pimregistry.DefaultSettings(3*time.Second), x.clock, nil)
	obs := &observer{table: pimflow.New(pimflow.DefaultSettings()), remote: map[pimgossip.RemoteService]pimgossip.RemoteLoad{}}
	n.registry.ReadSucceeded(n.clock.Now())
	if err := n.registry.Restore(pimregistry.Snapshot{Revision: 1}); err != nil {
		panic(err)
	}
	x.edge = &edge{node: n, table: obs.table, observer: obs}
	x.placer = pimplace.New("ikeja", obs, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(1, 1)))
	x.placer.EnableAdmission(pimadmit.DefaultSettings(), "vm-1")
	x.placer.SetVMs([]string{"vm-2"})
	x.slowStart = newSlowStart(n, &pimsettings.EntrySlowStart{Overage: 1.5, Slack: 5})
	x.placer.LimitSlowStart(x.slowStart)
	for range 2 * pimramp.DefaultSettle / time.Second {
		x.clock.Advance(time.Second)
		x.slowStart.limiter.Update(x.clock.Now(), pimgossip.Membership{
			RunningFor: time.Hour, Members: []pimgossip.Member{{Name: "vm-2", KnownFor: time.Hour}},
		})
	}
	n.registry.ReadSucceeded(n.clock.Now())
	n.registry.ConfirmRead()
	x.clock.Advance(250 * time.Millisecond)
	if len(shares) == 0 {
		shares = []pimcatalog.Share{{Service: "desk"}}
	}
	for i := range 2 {
		x.routes = append(x.routes, pimcatalog.Route{
			Name: fmt.Sprintf("route-%d", i), Address: netip.AddrPortFrom(explained.Addr(), explained.Port()+uint16(i)), Shares: shares,
			Priority: pimcatalog.Priority(i + 1), Timeout: 3 * time.Second, Target: 600 * time.Millisecond,
		})
	}
	return x
}

// add adds n backend servers of a service.
func (x *explainedEdge) add(n int, service pimcatalog.Service, dc pimid.DataCentre, change func(*pimcatalog.Host)) {
	for range n {
		id := pimcatalog.HostID(len(x.hosts) + 1)
		h := &pimcatalog.Host{ID: id, Name: fmt.Sprintf("%s-%d", service, id), Service: service, DataCentre: dc, Slots: 2}
		if change != nil {
			change(h)
		}
		x.hosts = append(x.hosts, h)
	}
}

// run records requests under way at a backend server.
func (x *explainedEdge) run(id pimcatalog.HostID, n int) {
	for i := range n {
		x.table.RecordOpening(x.clock.Now(), &pimpacket.Packet{
			Flow:  pimpacket.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), uint16(i+1)), Destination: explained},
			Flags: pimpacket.Open,
		}, id)
	}
}

// explain explains a flow.
func (x *explainedEdge) explain(isFresh bool, address netip.AddrPort, evacuated ...pimid.DataCentre) Explanation {
	return x.edge.explain(x.clock.Now(), x.view(isFresh, evacuated...), address)
}

// view returns a view with the routes and backend servers.
func (x *explainedEdge) view(isFresh bool, evacuated ...pimid.DataCentre) *pimsteer.View {
	cfg := &pimcatalog.Config{
		Version: 4, Routes: x.routes, Services: []pimcatalog.Service{"desk", "video"},
		SlowStart: []pimcatalog.SlowStart{{Service: "desk", PerSecond: 2}},
	}
	return &pimsteer.View{Fresh: isFresh, Catalog: pimcatalog.NewCatalog(17, pimcatalog.NewRouteTable(cfg), x.hosts, evacuated...)}
}

// Guards against unintended changes of the explanations that programs read, and against a decision that is explained as another one.
func TestExplanations(t *testing.T) {
	cold := func(h *pimcatalog.Host) { h.ColdUntil = pimclock.Instant(time.Hour + 8*time.Second) }
	leaving := func(h *pimcatalog.Host) { h.Leaving = true }
	for name, explanation := range map[string]func() Explanation{
		"no_view": func() Explanation {
			x := newExplainedEdge()
			return x.edge.explain(x.clock.Now(), &pimsteer.View{Catalog: pimcatalog.NewCatalog(0, nil, nil)}, explained)
		},
		"no_route": func() Explanation {
			return newExplainedEdge().explain(true, netip.MustParseAddrPort("198.18.0.9:1"))
		},
		"view_behind": func() Explanation {
			x := newExplainedEdge()
			x.add(1, "desk", "ikeja", leaving)
			return x.explain(false, explained)
		},
		"own_slot": func() Explanation {
			x := newExplainedEdge()
			x.add(4, "desk", "ikeja", nil)
			x.add(1, "desk", "ikeja", cold)
			x.add(2, "desk", "apapa", nil)
			return x.explain(true, explained)
		},
		"no_room": func() Explanation {
			x := newExplainedEdge()
			x.add(2, "desk", "ikeja", nil)
			x.add(1, "desk", "apapa", nil)
			x.run(1, 10)
			x.run(2, 10)
			x.run(3, 3)
			return x.explain(true, netip.AddrPortFrom(explained.Addr(), explained.Port()+1))
		},
		"evacuated": func() Explanation {
			x := newExplainedEdge()
			x.add(1, "desk", "ikeja", nil)
			x.add(1, "desk", "apapa", leaving)
			return x.explain(true, explained, "ikeja")
		},
		"slow_start": func() Explanation {
			x := newExplainedEdge()
			x.add(2, "desk", "ikeja", cold)
			for range 7 {
				x.slowStart.limiter.Record(x.clock.Now(), 1)
			}
			return x.explain(true, explained)
		},
		"two_services": func() Explanation {
			x := newExplainedEdge(pimcatalog.Share{Service: "desk", Weight: 1}, pimcatalog.Share{Service: "video", Weight: 3})
			x.routes = x.routes[:1]
			x.add(2, "desk", "ikeja", nil)
			x.add(2, "video", "apapa", nil)
			x.run(1, 3)
			return x.explain(true, explained)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := json.MarshalIndent(explanation(), "", "  ")
			is.NoErr(err)
			file := "testdata/explain_" + name + ".golden"
			if *update {
				is.NoErr(os.WriteFile(file, text, 0o644))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(string(text), string(want))
		})
	}
}

// Guards against a loop that is kept from its packets by many requests for explanations, and against a request that waits for ever
// because the loop has stopped.
func TestExplanationsAreBounded(t *testing.T) {
	is := is.New(t)
	x := newExplainedEdge()
	x.node.edge, x.explains = x.edge, newExplainRequests()
	is.NoErr(x.node.registry.Restore(pimregistry.Snapshot{
		Revision: 2, Changes: []pimregistry.Change{{Revision: 2, Config: &pimcatalog.Config{Version: 1}}},
	}))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	allowed := 0
	const seconds = 10
	for range 100 * seconds {
		x.clock.Advance(time.Second / 100)
		_, err := x.node.Explain(ended, explained)
		if !errors.Is(err, pimops.ErrBusy) {
			is.True(errors.Is(err, context.Canceled))
			allowed++
		}
	}
	is.True(allowed >= explainPerSecond*seconds && allowed <= explainBurst+explainPerSecond*seconds)
}

// Guards against an answer of the loop that is lost, and against a loop that waits for the operator server.
func TestLoopAnswersBetweenPackets(t *testing.T) {
	is := is.New(t)
	x := newExplainedEdge()
	x.explains = newExplainRequests()
	x.answerExplain(x.clock.Now()) // no request
	x.explains.requests = make(chan explainRequest, 1)
	request := explainRequest{address: explained, answer: make(chan Explanation, 1)}
	x.explains.requests <- request
	x.answerExplain(x.clock.Now())
	is.Equal((<-request.answer).Address, explained)
}

// BenchmarkExplain measures how long an explanation keeps the loop from its packets.
func BenchmarkExplain(b *testing.B) {
	for _, n := range []int{4, 50, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := newExplainedEdge()
			x.add(n, "desk", "ikeja", nil)
			x.add(n, "desk", "apapa", nil)
			view := x.view(true)
			b.ReportAllocs()
			for b.Loop() {
				x.edge.explain(x.clock.Now(), view, explained)
			}
		})
	}
}
