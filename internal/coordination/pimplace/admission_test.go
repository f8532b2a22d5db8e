package pimplace

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// routeOf returns a route of the service desk.
func routeOf(p pimcatalog.Priority) pimcatalog.Route {
	return pimcatalog.Route{
		Name: fmt.Sprintf("route-%d", p), Priority: p, Shares: []pimcatalog.Share{{Service: "desk"}}, Timeout: 3 * time.Second,
		Target: 600 * time.Millisecond,
	}
}

// deskConfig has an urgent and a less urgent route of the service desk.
func deskConfig() *pimcatalog.Config {
	return &pimcatalog.Config{Version: 1, Routes: []pimcatalog.Route{routeOf(1), routeOf(2)}, Services: []pimcatalog.Service{"desk"}}
}

func deskHosts(n int, firstID pimcatalog.HostID, dc pimid.DataCentre) (hosts []*pimcatalog.Host) {
	for i := range n {
		hosts = append(hosts, &pimcatalog.Host{ID: firstID + pimcatalog.HostID(i), Service: "desk", DataCentre: dc, Slots: 2})
	}
	return hosts
}

// admitting is a placer with admission in a data centre with the given VMs, and the loads that it observes.
type admitting struct {
	*Placer
	loads   map[pimcatalog.HostID]Load
	catalog *pimcatalog.Catalog
	cfg     *pimcatalog.Config
}

func newAdmitting(vms []string, hosts ...*pimcatalog.Host) *admitting {
	a := &admitting{loads: map[pimcatalog.HostID]Load{}, cfg: deskConfig()}
	a.catalog = pimcatalog.NewCatalog(1, pimcatalog.NewRouteTable(a.cfg), hosts)
	observer := &fakeObserver{table: pimflow.New(pimflow.DefaultSettings()), loads: a.loads}
	a.Placer = New("ikeja", observer, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(1, 1)))
	a.EnableAdmission(pimadmit.DefaultSettings(), "a")
	a.SetVMs(vms)
	return a
}

// place places a flow of a route of the configuration.
func (a *admitting) place(route, attempt int) pimsteer.Placement {
	return a.Place(0, a.catalog, &a.cfg.Routes[route], &pimpacket.Packet{Flags: pimpacket.Open, Attempt: attempt})
}

// set sets the requests under way at a backend server, here and at the other VMs.
func (a *admitting) set(id pimcatalog.HostID, busy, open int, elsewhere float64) {
	a.loads[id] = Load{Load: pimflow.Load{Busy: busy, Open: open}, BusyElsewhere: elsewhere}
}

// idsWithOneTag returns two ids with the same tag.
func idsWithOneTag() (first, second pimcatalog.HostID) {
	seen := map[pimcatalog.Tag]pimcatalog.HostID{}
	for second = 1; ; second++ {
		if first = seen[second.Tag()]; first != 0 {
			return first, second
		}
		seen[second.Tag()] = second
	}
}

// Guards against new flows at a backend server whose tag belongs to another one, which then receives all later packets of the flow.
func TestHostWithoutItsTagHasNoShare(t *testing.T) {
	is := is.New(t)
	first, second := idsWithOneTag()
	owner := &pimcatalog.Host{ID: first, Service: "desk", DataCentre: "ikeja", Slots: 2, Created: 1}
	other := &pimcatalog.Host{ID: second, Service: "desk", DataCentre: "ikeja", Slots: 2, Created: 2}
	a := newAdmitting(nil, owner, other)
	a.set(owner.ID, 3, 3, 0)
	is.Equal(a.place(0, 0).Host, owner)
}

// Guards against refusals because of open flows that send nothing: 48 million open flows at 33,000 backend servers are 1,450 each.
func TestIdleFlowsTakeNoPlaces(t *testing.T) {
	is := is.New(t)
	a := newAdmitting([]string{"b"}, deskHosts(2, 1, "ikeja")...)
	a.set(1, 0, 1450, 0)
	a.set(2, 0, 1450, 0)
	is.True(a.place(1, 0).Host != nil)
	a.loads[2] = Load{BusyElsewhere: 0, OpenElsewhere: 1450}
	a.set(1, 10, 10, 0)
	is.Equal(a.place(1, 0).Rule, pimadmit.SharedSlot.String())
}

// Guards against the most flows on the backend server with the most open flows, of two with the same requests under way.
func TestFewerOpenFlowsAreBetter(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(2, 1, "ikeja")...)
	a.set(1, 1, 20, 0)
	a.set(2, 1, 4, 0)
	for range 20 {
		is.Equal(a.place(0, 0).Host.ID, pimcatalog.HostID(2))
	}
}

// Guards against the placement of a flow whose caller no longer waits, and against a wrong reason: whether the flow is late must not
// depend on the load. No copy of its opening packet was forwarded.
func TestExpiredFlowIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(2, 1, "ikeja")...)
	a.set(1, 10, 10, 0)
	a.set(2, 10, 10, 0)
	is.True(a.place(0, 0).Later)
	clear(a.loads)
	a.cfg.Routes[0].Timeout = 150 * time.Millisecond
	p := a.place(0, 1)
	is.True(p.Host == nil && !p.Later)
	is.Equal(p.Rule, pimadmit.Expired.String())
}

// Guards against refusals of services whose routes all have one priority, with any load.
func TestServicesWithOnePriorityAreNotRefused(t *testing.T) {
	is := is.New(t)
	a := newAdmitting([]string{"b"}, deskHosts(2, 1, "ikeja")...)
	a.cfg.Routes[1].Priority = 1
	a.catalog = pimcatalog.NewCatalog(2, pimcatalog.NewRouteTable(a.cfg), a.catalog.Hosts())
	a.set(1, 500, 500, 0)
	a.set(2, 500, 500, 0)
	is.True(a.place(1, 0).Host != nil)
	var none *pimcatalog.RouteTable
	is.True(!none.HasPriorities("desk")) // no configuration was read
}

// Guards against less urgent flows that fill the places of urgent ones, and urgent flows that are not left to the next copy.
func TestReserve(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(1, 1, "ikeja")...)
	a.place(0, 0)
	a.place(1, 0)
	a.set(1, 5, 5, 0)
	is.True(a.place(1, 0).Host != nil)
	a.set(1, 6, 6, 0)
	refused := a.place(1, 0)
	is.True(refused.Host == nil && !refused.Later && refused.Reason == pimsteer.ReasonNoRoom)
	is.Equal(a.place(0, 0).Rule, pimadmit.OwnQueue.String())
	a.set(1, 10, 10, 0)
	waits := a.place(0, 0)
	is.True(waits.Host == nil && waits.Later && waits.Reason == pimsteer.ReasonNoRoom)
	is.True(!a.place(0, 2).Later)
}

// Guards against shares of an earlier catalog or of earlier VMs, and against backend servers that end without a new catalog.
func TestSharesFollowTheCatalogAndTheVMs(t *testing.T) {
	is := is.New(t)
	hosts := deskHosts(4, 1, "ikeja")
	a := newAdmitting([]string{"b"}, hosts...)
	a.place(0, 0)
	a.set(1, 6, 6, 0)
	a.set(2, 6, 6, 0)
	for i := range hosts[2:] {
		a.set(hosts[2+i].ID, 0, 0, 6)
	}
	is.Equal(a.place(1, 0).Rule, pimadmit.NoRoom.String()) // the share of b is unknown here except for its reports
	a.SetVMs(nil)
	a.set(3, 0, 0, 0)
	is.Equal(a.place(1, 0).Rule, pimadmit.OwnSlot.String()) // b has left
	a.SetVMs([]string{"b"})
	a.catalog = pimcatalog.NewCatalog(2, a.catalog.Routes, append(hosts[2:], deskHosts(2, 5, "ikeja")...))
	for range 20 {
		is.True(a.place(1, 0).Host.ID <= 4) // the first half of the new catalog
	}
	hosts[2].Unlisted, hosts[3].Unlisted = true, true
	h := a.place(1, 0).Host
	is.True(h != nil && h.ID >= 5)
}

// Guards against flows without a backend server although another one in or outside the data centre may take them.
func TestOtherCandidates(t *testing.T) {
	is := is.New(t)
	home, away := deskHosts(1, 1, "ikeja"), deskHosts(1, 2, "apapa")
	a := newAdmitting(nil, append(home, away...)...)
	a.set(1, 10, 10, 0)
	is.Equal(a.place(0, 0).Rule, pimadmit.OtherDataCentre.String())
	a.set(2, maxUnknownRemote, maxUnknownRemote, 0)
	is.Equal(a.place(0, 0).Rule, pimadmit.NoRoom.String())
	a.loads[1] = Load{Load: pimflow.Load{Suspect: true}}
	is.Equal(a.place(1, 0).Rule, pimadmit.OtherDataCentre.String()) // none left at home
	a.loads[2] = Load{Load: pimflow.Load{Suspect: true}}
	is.Equal(a.place(1, 0).Rule, pimadmit.LastResort.String())
	is.Equal(a.place(1, 0).Host, home[0])
	home[0].Leaving, away[0].Leaving = true, true
	a.catalog = pimcatalog.NewCatalog(2, a.catalog.Routes, a.catalog.Hosts())
	none := a.place(0, 0)
	is.Equal(none.Rule, pimadmit.NoCandidate.String())
	is.True(none.Reason == pimsteer.ReasonNoHost && !none.Later)
}

// Guards against a status that shows other places than those that decide.
func TestSharesForStatus(t *testing.T) {
	is := is.New(t)
	a := newAdmitting([]string{"b"}, deskHosts(4, 1, "ikeja")...)
	is.Equal(len(a.Shares(0)), 0)
	a.place(0, 0)
	a.set(1, 3, 3, 0)
	a.set(2, 2, 9, 0)
	a.set(3, 5, 5, 0)
	is.Equal(a.Shares(0), []ServiceShare{{Service: "desk", Places: 20, Filled: 5}})
	is.Equal(len(placerWith(nil).Shares(0)), 0)
}

// Guards against requests beyond the queue of a fast backend server, which answers 503, and against refusals while a slow one has
// room: the speed changes how long a request waits, not how many the queue holds.
func TestSpeedDoesNotChangeThePlaces(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(1, 1, "ikeja")...)
	at := func(speed float64, busy int) string {
		a.loads[1] = Load{Load: pimflow.Load{Busy: busy, Open: busy, Speed: speed}}
		return a.place(0, 0).Rule
	}
	is.Equal(at(1.6, 10), pimadmit.NoRoom.String())
	is.Equal(at(0.6, 9), pimadmit.OwnQueue.String())
	is.Equal(at(1.6, 2), pimadmit.OwnQueue.String()) // both slots are taken
	is.Equal(at(0.6, 1), pimadmit.OwnSlot.String())
}

// Guards against flows at a full fast backend server while a slower one has room.
func TestRoomGoesBeforeSpeed(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(2, 1, "ikeja")...)
	a.loads[1] = Load{Load: pimflow.Load{Busy: 10, Speed: 2}}
	a.loads[2] = Load{Load: pimflow.Load{Busy: 7, Speed: 0.6}}
	is.Equal(a.place(0, 0).Host.ID, pimcatalog.HostID(2))
	a.loads[1] = Load{Load: pimflow.Load{Busy: 7, Speed: 2}}
	is.Equal(a.place(0, 0).Host.ID, pimcatalog.HostID(1))
}

// Guards against flows at a backend server in slow start, which has no open flows yet, while a warm one is idle as well.
func TestIdleWarmServersGoBeforeColdOnes(t *testing.T) {
	is := is.New(t)
	hosts := deskHosts(2, 1, "ikeja")
	hosts[0].ColdUntil = 1
	a := newAdmitting(nil, hosts...)
	a.set(2, 0, 100, 0)
	is.Equal(a.place(0, 0).Host.ID, pimcatalog.HostID(2))
}

// Guards against long requests that take the places of several short ones of the same priority when there is too little room.
func TestShortRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(1, 1, "ikeja")...)
	short, long := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
	a.cfg.Routes = append(a.cfg.Routes, routeOf(2))
	a.cfg.Routes[1].Address, a.cfg.Routes[2].Address = short, long
	a.observer.(*fakeObserver).works = map[netip.AddrPort]time.Duration{short: 10 * time.Millisecond, long: 70 * time.Millisecond}
	for range 50 {
		a.place(0, 0)
		a.place(1, 0)
		a.place(2, 0)
	}
	a.set(1, 6, 6, 0) // three of five places of a slot: the limit of the less urgent routes
	is.True(a.place(1, 0).Host != nil)
	is.Equal(a.place(2, 0).Rule, pimadmit.NoRoom.String())
}
