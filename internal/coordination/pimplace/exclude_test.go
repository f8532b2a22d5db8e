package pimplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// fakeSlowStart allows an opening packet once the given time has passed for a backend server; others are never allowed.
type fakeSlowStart struct {
	after     map[pimcatalog.HostID]time.Duration
	perSecond float64
	denied    int
}

func (s *fakeSlowStart) RecordDenied(n int) { s.denied += n }

func (s *fakeSlowStart) AllowsWithin(_ pimclock.Instant, h *pimcatalog.Host, perSecond float64, d time.Duration) bool {
	s.perSecond = perSecond
	after, ok := s.after[h.ID]
	return ok && d >= after
}

// slowStartCatalog has one warm and two cold backend servers of a service with a limit, and a cold one of a service without.
func slowStartCatalog(warmIsLeaving bool) *pimcatalog.Catalog {
	routes := pimcatalog.NewRouteTable(&pimcatalog.Config{
		Version: 1, Services: []pimcatalog.Service{"desk", "video"}, SlowStart: []pimcatalog.SlowStart{{Service: "desk", PerSecond: 2}},
	})
	cold := pimclock.Instant(10 * time.Second)
	return pimcatalog.NewCatalog(1, routes, []*pimcatalog.Host{
		{ID: 1, Service: "desk", DataCentre: "ikeja", Slots: 2, Leaving: warmIsLeaving},
		{ID: 2, Service: "desk", DataCentre: "ikeja", Slots: 2, ColdUntil: cold},
		{ID: 3, Service: "desk", DataCentre: "ikeja", Slots: 2, ColdUntil: cold},
		{ID: 4, Service: "video", DataCentre: "ikeja", Slots: 2, ColdUntil: cold},
	})
}

func shares(s pimcatalog.Service) *pimcatalog.Route {
	return &pimcatalog.Route{Shares: []pimcatalog.Share{{Service: s}}}
}

// Guards against new flows at a backend server in slow start that this VM may not send to, and against one that is kept out although
// it may be sent to, is warm, or has no limit.
func TestBackendServersInSlowStartAreExcluded(t *testing.T) {
	is := is.New(t)
	busy := map[pimcatalog.HostID]Load{1: {Load: pimflow.Load{Busy: 30}}}
	place := func(now pimclock.Instant, s SlowStart, service pimcatalog.Service) pimcatalog.HostID {
		p := placerWith(busy)
		p.LimitSlowStart(s)
		return p.Place(now, slowStartCatalog(false), shares(service), &pimpacket.Packet{}).Host.ID
	}
	none := &fakeSlowStart{}
	is.Equal(place(0, none, "desk"), pimcatalog.HostID(1)) // although it is busy
	is.Equal(none.perSecond, 2.0)
	is.Equal(none.denied, 2)
	is.Equal(place(0, none, "video"), pimcatalog.HostID(4))
	is.Equal(place(0, &fakeSlowStart{after: map[pimcatalog.HostID]time.Duration{3: 0}}, "desk"), pimcatalog.HostID(3))
	is.True(place(0, nil, "desk") != 1)
	is.True(place(pimclock.Instant(10*time.Second), none, "desk") != 1)
}

// Guards against a reset although the next copy of the opening packet may be placed, a drop although none may, and a wrong reason.
func TestNoWarmBackendServer(t *testing.T) {
	const second = pimclock.Instant(time.Second)
	for _, test := range []struct {
		now     pimclock.Instant
		attempt int
		after   time.Duration
		later   bool
	}{
		{0, 0, 200 * time.Millisecond, true},
		{0, 0, 201 * time.Millisecond, false},
		{0, 1, 400 * time.Millisecond, true},
		{0, 1, 401 * time.Millisecond, false},
		{0, 2, 10 * time.Millisecond, false},
		{0, -1, 10 * time.Millisecond, false},
		{10*second - second/5, 0, time.Hour, true}, // warm by then
		{10*second - second/4, 0, time.Hour, false},
	} {
		is := is.New(t)
		p := placerWith(nil)
		p.LimitSlowStart(&fakeSlowStart{after: map[pimcatalog.HostID]time.Duration{3: test.after}})
		placement := p.Place(test.now, slowStartCatalog(true), shares("desk"), &pimpacket.Packet{Attempt: test.attempt})
		is.Equal(placement, pimsteer.Placement{Reason: pimsteer.ReasonSlowStart, Later: test.later})
	}
}

// Guards against a reset that breaks a flow, since the answer to an earlier copy of the opening packet was on the way.
func TestCopyOfAForwardedPacketIsNotAnsweredWithAReset(t *testing.T) {
	is := is.New(t)
	p := placerWith(nil)
	p.LimitSlowStart(&fakeSlowStart{})
	pkt := &pimpacket.Packet{Attempt: 2}
	is.Equal(p.Place(0, slowStartCatalog(true), shares("desk"), pkt).Later, false)
	p.observer.(*fakeObserver).table.RecordOpening(0, pkt, 2)
	is.Equal(p.Place(0, slowStartCatalog(true), shares("desk"), pkt), pimsteer.Placement{Reason: pimsteer.ReasonSlowStart, Later: true})
}

// Guards against the reason slow_start where the slow start is not the cause.
func TestNoBackendServerAtAll(t *testing.T) {
	is := is.New(t)
	p := placerWith(nil)
	p.LimitSlowStart(&fakeSlowStart{})
	is.Equal(p.Place(0, slowStartCatalog(false), shares("none"), &pimpacket.Packet{}), pimsteer.Placement{Reason: pimsteer.ReasonNoHost})
}
