package pimsteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

var (
	published = netip.MustParseAddrPort("198.18.0.1:443")
	unknown   = netip.MustParseAddrPort("198.18.0.9:443")
	caller    = netip.MustParseAddrPort("100.64.0.7:40001")
)

// firstOpenHost places flows on the first open backend server.
type firstOpenHost struct{}

func (firstOpenHost) Place(now pimclock.Instant, c *pimcatalog.Catalog, r *pimcatalog.Route, _ *pimpacket.Packet) Placement {
	for _, h := range c.Service(r.Shares[0].Service) {
		if h.AcceptsNewFlows(now) {
			return Placement{Host: h}
		}
	}
	return Placement{Reason: ReasonNoHost}
}

func catalog(hosts ...*pimcatalog.Host) *pimcatalog.Catalog {
	return pimcatalog.NewCatalog(3, pimcatalog.NewRouteTable(&pimcatalog.Config{
		Services: []pimcatalog.Service{"desk"},
		Routes:   []pimcatalog.Route{{Address: published, Shares: []pimcatalog.Share{{Service: "desk", Weight: 1}}}},
	}), hosts)
}

// Guards against a reset by a view that may be out of date, against a packet of an open flow that reaches another
// backend server, and against a dropped packet where the flow can be reset at once.
func TestSteer(t *testing.T) {
	const now = pimclock.Instant(time.Hour)
	ready := &pimcatalog.Host{ID: 7, Service: "desk"}
	leaving := &pimcatalog.Host{ID: 8, Service: "desk", Leaving: true}
	gone := &pimcatalog.Host{ID: 9, Service: "desk", Unlisted: true}
	unresponsive := &pimcatalog.Host{ID: 10, Service: "desk", Leaving: true}
	full := catalog(ready, leaving, gone, unresponsive)
	open := func(destination netip.AddrPort) pimpacket.Packet {
		return pimpacket.Packet{Flow: pimpacket.Flow{Caller: caller, Destination: destination}, Flags: pimpacket.Open}
	}
	data := func(tag pimcatalog.Tag) pimpacket.Packet {
		return pimpacket.Packet{Flow: pimpacket.Flow{Caller: caller, Destination: published}, Flags: pimpacket.Ack, Tag: tag, Data: 10}
	}
	ack := data(unresponsive.Tag())
	ack.Data = 0
	reset := data(77)
	reset.Flags = pimpacket.Reset
	fresh := View{Catalog: full, Fresh: true, Settled: true, AsOf: now}
	// The view is a second old; laterFlow is a flow whose first packet arrived since then, earlierFlow one of before.
	laterFlow := View{Catalog: full, Fresh: true, Settled: true, AsOf: now.Add(-time.Second)}
	earlierFlow := laterFlow
	earlierFlow.FirstSeen = func(*pimpacket.Packet) pimclock.Instant { return now.Add(-time.Second) }
	lapsed := &pimcatalog.Host{ID: 11, Service: "desk", Unlisted: true, GoneAt: now.Add(-time.Second)}
	for name, tc := range map[string]struct {
		view   View
		packet pimpacket.Packet
		action Action
		reason Reason
		host   *pimcatalog.Host
	}{
		"new flow":                             {fresh, open(published), Forward, ReasonPlaced, ready},
		"no configuration":                     {View{Catalog: pimcatalog.NewCatalog(0, nil, nil), Fresh: true}, open(published), Drop, ReasonNoView, nil},
		"no route":                             {fresh, open(unknown), Reset, ReasonNoRoute, nil},
		"no route, old view":                   {View{Catalog: full}, open(unknown), Drop, ReasonViewBehind, nil},
		"no host":                              {View{Catalog: catalog(leaving, gone), Fresh: true}, open(published), Reset, ReasonNoHost, nil},
		"no host, old view":                    {View{Catalog: catalog(leaving, gone)}, open(published), Drop, ReasonViewBehind, nil},
		"old view, known route":                {View{Catalog: full}, open(published), Forward, ReasonPlaced, ready},
		"open flow":                            {fresh, data(ready.Tag()), Forward, ReasonEstablished, ready},
		"open flow, host leaving":              {fresh, data(leaving.Tag()), Forward, ReasonEstablished, leaving},
		"open flow, host gone":                 {fresh, data(gone.Tag()), Reset, ReasonHostGone, gone},
		"open flow, host may have ended since": {View{Catalog: catalog(lapsed), Fresh: true, Settled: true, AsOf: now.Add(-2 * time.Second)}, data(lapsed.Tag()), Forward, ReasonEstablished, lapsed},
		"open flow, host has ended since":      {View{Catalog: catalog(lapsed), Fresh: true, Settled: true, AsOf: now}, data(lapsed.Tag()), Reset, ReasonHostGone, lapsed},
		"open flow, unknown host":              {fresh, data(77), Reset, ReasonUnknownHost, nil},
		"open flow, unknown host, not settled": {View{Catalog: full, Fresh: true}, data(77), Drop, ReasonViewBehind, nil},
		"open flow, unknown host, old view":    {View{Catalog: full}, data(77), Drop, ReasonViewBehind, nil},
		"open flow, unknown host, view older than the flow": {laterFlow, data(77), Drop, ReasonViewBehind, nil},
		"open flow, unknown host, view confirmed since":     {earlierFlow, data(77), Reset, ReasonUnknownHost, nil},
		"open flow, host gone, view older than the flow":    {laterFlow, data(gone.Tag()), Drop, ReasonViewBehind, gone},
		"open flow, host gone, view confirmed since":        {earlierFlow, data(gone.Tag()), Reset, ReasonHostGone, gone},
		"reset of an unknown flow":                          {fresh, reset, Drop, ReasonUnknownHost, nil},
		"without a tag":                                     {fresh, data(pimcatalog.NoTag), Drop, ReasonUntagged, nil},
		"request to an unresponsive host":                   {fresh, data(unresponsive.Tag()), Reset, ReasonHostUnresponsive, unresponsive},
		"ack to an unresponsive host":                       {fresh, ack, Forward, ReasonEstablished, unresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.view.Unresponsive = func(id pimcatalog.HostID) bool { return id == unresponsive.ID }
			got := Steer(now, tc.view, firstOpenHost{}, &tc.packet)
			is.Equal(got.Action, tc.action)
			is.Equal(got.Reason, tc.reason)
			is.Equal(got.Host, tc.host)
		})
	}
}

// Guards against a tag that stands for two backend servers, and against one that moves to another backend server while
// flows use it.
func TestDuplicateTagStaysWithOlderHost(t *testing.T) {
	is := is.New(t)
	older := &pimcatalog.Host{ID: 7, Service: "desk", Created: 1}
	same := &pimcatalog.Host{ID: 7, Service: "desk", Created: 2}
	c := catalog(same, older)
	is.Equal(c.Host(older.Tag()), older)
	is.Equal(len(c.Service("desk")), 1)
}

// Guards against allocations on the path of each packet.
func TestEstablishedAllocatesNothing(t *testing.T) {
	h := &pimcatalog.Host{ID: 7, Service: "desk"}
	view := View{Catalog: catalog(h), Fresh: true, Settled: true}
	p := pimpacket.Packet{Flow: pimpacket.Flow{Caller: caller, Destination: published}, Flags: pimpacket.Ack, Tag: h.Tag()}
	if n := testing.AllocsPerRun(100, func() { Steer(0, view, firstOpenHost{}, &p) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// refusing places no flow, for a reason.
type refusing struct{ reason Reason }

func (p refusing) Place(pimclock.Instant, *pimcatalog.Catalog, *pimcatalog.Route, *pimpacket.Packet) Placement {
	return Placement{Reason: p.reason}
}

// Guards against a flow that waits although all its data centres are evacuated, against a refusal by a view in which the request may
// be out of date, and against open flows that an evacuation ends.
func TestSteerInEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	h := &pimcatalog.Host{ID: 7, Service: "desk", DataCentre: "ikeja"}
	c := pimcatalog.NewCatalog(3, catalog().Routes, []*pimcatalog.Host{h}, "ikeja")
	opening := pimpacket.Packet{Flow: pimpacket.Flow{Caller: caller, Destination: published}, Flags: pimpacket.Open}
	placer := refusing{ReasonEvacuated}
	got := Steer(0, View{Catalog: c, Fresh: true}, placer, &opening)
	is.Equal([]any{got.Action, got.Reason}, []any{Reset, ReasonEvacuated})
	got = Steer(0, View{Catalog: c}, placer, &opening)
	is.Equal([]any{got.Action, got.Reason}, []any{Drop, ReasonViewBehind})
	data := pimpacket.Packet{Flow: opening.Flow, Flags: pimpacket.Ack, Tag: h.Tag(), Data: 10}
	is.Equal(Steer(0, View{Catalog: c, Fresh: true, Settled: true}, placer, &data).Action, Forward)
}
