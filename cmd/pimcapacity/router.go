package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

type routerCommand struct {
	out       *output
	Addresses []int `long:"addresses" default:"1112" default:"4450" default:"8900" description:"number of addresses"`
	Backends  []int `long:"backends" default:"4125" default:"16500" default:"33000" description:"number of backend servers"`
	Packets   int   `long:"packets" default:"500000" description:"packets to average over"`
	Updates   int   `long:"updates" default:"50" description:"changes to average over"`
}

// routerFlows is the number of different established flows. Their packets are too many for the caches of the processor.
const routerFlows = 1 << 14

// routerUnix is the wall-clock time of the measurements in Unix seconds.
const routerUnix = int64(1_700_000_000)

// Execute runs the measurements and prints each quantity with its fitted line. While one count varies, the other one
// stays at the last value of its list, which is the largest by default.
func (c *routerCommand) Execute([]string) error {
	var addresses, backends routerCosts
	for _, n := range c.Addresses {
		s := fleetSize{Services: n, Contracts: n, Backends: c.Backends[len(c.Backends)-1], DataCentres: 15, VMs: 1}
		if err := addresses.measure(float64(n), s, c); err != nil {
			return err
		}
	}
	for _, n := range c.Backends {
		last := c.Addresses[len(c.Addresses)-1]
		s := fleetSize{Services: last, Contracts: last, Backends: n, DataCentres: 15, VMs: 1}
		if err := backends.measure(float64(n), s, c); err != nil {
			return err
		}
	}
	return c.out.print(append(addresses.series("addresses"), backends.series("backend servers")...))
}

// routerCosts are the measured costs of routers of several sizes.
type routerCosts struct {
	sizes, bytes, route, backend, contract []float64
}

func (s *routerCosts) measure(size float64, fleet fleetSize, c *routerCommand) error {
	v := fleet.view()
	var r *pimroute.Router
	var err error
	total := liveBytes(func() *pimroute.Router {
		r = pimroute.New(routerConfig())
		err = r.Update(routerUnix, v)
		return r
	})
	if err != nil {
		return err
	}
	route, err := routeTime(r, v, c.Packets)
	if err != nil {
		return err
	}
	backend, err := updateTime(r, v, withBackendLeaving(v), c.Updates)
	if err != nil {
		return err
	}
	contract, err := updateTime(r, v, withContractSourcesChanged(v), c.Updates)
	if err != nil {
		return err
	}
	s.sizes, s.bytes, s.route = append(s.sizes, size), append(s.bytes, total), append(s.route, route)
	s.backend, s.contract = append(s.backend, backend), append(s.contract, contract)
	return nil
}

func (s *routerCosts) series(of string) []series {
	return []series{
		newSeries("router snapshot without the view", "B", of, s.sizes, s.bytes),
		newSeries("one Route of an established flow", "ns", of, s.sizes, s.route),
		newSeries("one Update with one changed backend server", "ns", of, s.sizes, s.backend),
		newSeries("one Update with one changed contract", "ns", of, s.sizes, s.contract),
	}
}

// routeTime returns the mean time in nanoseconds of routing a packet of an established flow.
func routeTime(r *pimroute.Router, v *pimview.View, n int) (ns float64, err error) {
	packets, err := establishedPackets(v)
	if err != nil {
		return 0, err
	}
	var a pimroute.Action
	ns = perOp(n, func(i int) {
		r.Route(0, routerUnix, packets[i%len(packets)], &a)
		if a.Rule != pimroute.RuleEstablished {
			err = fmt.Errorf("packet of an established flow decided by rule %v", a.Rule)
		}
	})
	return ns, err
}

// updateTime returns the mean time of an Update in nanoseconds. It alternates between two views with rising revisions.
func updateTime(r *pimroute.Router, v, changed *pimview.View, n int) (ns float64, err error) {
	views := []*pimview.View{changed, v}
	ns = perOp(n, func(i int) {
		next := views[i%len(views)]
		next.Revision = r.Revision() + 1
		if updateErr := r.Update(routerUnix, next); updateErr != nil {
			err = updateErr
		}
	})
	return ns, err
}

func withBackendLeaving(v *pimview.View) *pimview.View {
	changed := *v
	changed.Backends = maps.Clone(v.Backends)
	b := changed.Backends[1]
	b.State = pimview.BackendLeaving
	changed.Backends[1] = b
	return &changed
}

func withContractSourcesChanged(v *pimview.View) *pimview.View {
	changed := *v
	changed.Contracts = maps.Clone(v.Contracts)
	c := changed.Contracts[1]
	c.Sources = []netip.Prefix{netip.MustParsePrefix("10.4.0.0/24")}
	changed.Contracts[1] = c
	return &changed
}

// establishedPackets returns one packet for each of routerFlows flows to random backend servers.
func establishedPackets(v *pimview.View) ([]*pimedge.Packet, error) {
	key := pimtoken.Key{ID: v.Keys[0].ID, Secret: v.Keys[0].Secret, PublishedAt: v.Keys[0].PublishedAt}
	ring, err := pimtoken.NewRing([]pimtoken.Key{key})
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	packets := make([]*pimedge.Packet, routerFlows)
	for i := range packets {
		b := v.Backends[pimid.BackendID(1+rng.IntN(len(v.Backends)))]
		t := pimtoken.Token{
			Flags: pimtoken.FlagFlow, Service: b.Service, Contract: pimid.ContractID(b.Service), Backend: b.ID,
			Generation: b.Generation, Home: 2, HomeIncarnation: 2, Flow: pimid.FlowID(i), IssuedAt: uint32(routerUnix),
		}
		var sealed [pimtoken.Size]byte
		if err = ring.Seal(routerUnix, &t, &sealed); err != nil {
			return nil, err
		}
		source := netip.AddrPortFrom(sourceOf(int(b.Service)), 4000)
		packets[i] = &pimedge.Packet{Kind: pimedge.KindFlow, Service: b.Service, Source: source, Token: sealed[:]}
	}
	return packets, nil
}

// routerConfig returns the configuration of a router whose dependencies are routerStubs.
func routerConfig() pimroute.Config {
	s := routerStubs{}
	return pimroute.Config{
		Self: pimroute.Home{Node: 1, Incarnation: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Placer: s, Admitter: s, Members: s,
	}
}

// routerStubs places and admits all flows, reports every home as lost and knows no peer with a newer revision.
type routerStubs struct{}

// Place implements pimroute.Placer.
func (routerStubs) Place(pimclock.Instant, pimid.ServiceID) (pimid.BackendID, bool) { return 1, true }

// AdmitFlow implements pimroute.Admitter.
func (routerStubs) AdmitFlow(pimclock.Instant, pimid.ContractID) (bool, time.Duration) {
	return true, 0
}

// RefreshFlow implements pimroute.Admitter.
func (routerStubs) RefreshFlow(pimclock.Instant, pimid.ContractID) {}

// HomeStatus implements pimroute.Members.
func (routerStubs) HomeStatus(pimroute.Home) (pimroute.HomeStatus, pimroute.Home) {
	return pimroute.HomeLost, pimroute.Home{}
}

// NewerPeer implements pimroute.Members.
func (routerStubs) NewerPeer(pimid.Revision) (pimid.NodeID, bool) { return 0, false }
