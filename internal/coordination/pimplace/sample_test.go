package pimplace

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// countingObserver counts the looks at backend servers.
type countingObserver struct {
	Observer
	looks int
}

func (o *countingObserver) Load(now pimclock.Instant, id pimcatalog.HostID) Load {
	o.looks++
	return o.Observer.Load(now, id)
}

// Guards against a VM that does not keep up, since each decision looks at all of 33,000 backend servers, and against garbage.
func TestDecisionsAboutLargeServicesAreBounded(t *testing.T) {
	for _, hasPriorities := range []bool{true, false} {
		is := is.New(t)
		a := largeService(hasPriorities)
		observer := &countingObserver{Observer: a.observer}
		a.observer = observer
		now := pimclock.Instant(1)
		place := func() { now += 1e9; a.Place(now, a.catalog, &a.cfg.Routes[1], openingOf(0)) }
		place()
		observer.looks = 0
		place()
		is.True(observer.looks <= 256)
		most := 0.0
		if !hasPriorities {
			most = 1 // the function for pimpick.Policy
		}
		is.True(testing.AllocsPerRun(10, place) <= most)
	}
}

// Guards against refusals of a large service because all backend servers of a sample are excluded.
func TestOnlyBackendServerOfALargeServiceIsFound(t *testing.T) {
	for _, hasPriorities := range []bool{true, false} {
		is := is.New(t)
		a := largeService(hasPriorities)
		hosts := a.catalog.Hosts()
		for _, h := range hosts[1:] {
			h.Leaving = true
		}
		a.catalog = pimcatalog.NewCatalog(2, a.catalog.Routes, hosts)
		is.Equal(a.Place(1, a.catalog, &a.cfg.Routes[1], openingOf(0)).Host, hosts[0])
	}
}

// Guards against more requests in other data centres than a VM may have there, although a sample shows few of them.
func TestRequestsOfALargeServiceInOtherDataCentres(t *testing.T) {
	is := is.New(t)
	a := largeService(true)
	table := a.observer.(*fakeObserver).table
	placed := map[pimid.DataCentre]int{}
	for i := range 100 {
		pkt := &pimpacket.Packet{Flags: pimpacket.Open, Flow: pimpacket.Flow{Caller: callerOf(i)}}
		p := a.Place(1, a.catalog, &a.cfg.Routes[0], pkt)
		if p.Host == nil {
			continue
		}
		is.Equal(p.Rule, pimadmit.OtherDataCentre.String())
		table.RecordOpening(1, pkt, p.Host.ID)
		placed[p.Host.DataCentre]++
	}
	is.Equal(len(placed), 14)
	for _, n := range placed {
		is.Equal(n, maxUnknownRemote)
	}
	ended := pimclock.Instant(1).Add(pimflow.DefaultSettings().RunningFor)
	table.Expire(ended)
	is.Equal(a.place(0, 0).Host != nil, true)
	a.Place(ended, a.catalog, &a.cfg.Routes[0], openingOf(0))
	is.True(len(a.admission.away["desk"]) <= 2)
}

// Guards against a sample that has a backend server twice or prefers some.
func TestSampleIsEven(t *testing.T) {
	is := is.New(t)
	p := largeService(false).Placer
	hosts, seen := deskHosts(1000, 1, "ikeja"), map[*pimcatalog.Host]int{}
	const rounds = 4000
	for range rounds {
		p.sample = p.sample[:0]
		p.addSample(hosts, homeLooks)
		is.Equal(len(p.sample), homeLooks)
		once := map[*pimcatalog.Host]bool{}
		for _, h := range p.sample {
			is.True(!once[h])
			once[h] = true
			seen[h]++
		}
	}
	const mean = rounds * homeLooks / 1000
	for _, h := range hosts {
		is.True(seen[h] > mean/2 && seen[h] < mean*3/2)
	}
}
