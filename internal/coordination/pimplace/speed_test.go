package pimplace

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// exchangeInterval is the time between two exchanges of the loads among the simulated VMs.
const exchangeInterval = 250 * time.Millisecond

// exchange gives each VM what the others have observed, until exchangeUntil.
func (s *simulation) exchange() {
	if !s.now.Before(s.exchangeUntil) {
		return
	}
	var all []map[pimcatalog.HostID]pimflow.Elsewhere
	for _, table := range s.tables {
		table.Prune(s.now, s.catalog)
		reported := map[pimcatalog.HostID]pimflow.Elsewhere{}
		for _, r := range table.Report(s.now) {
			reported[r.ID] = pimflow.Elsewhere{
				Busy: r.Busy, Open: float64(r.Open), AliveAt: s.now.Add(-r.SilentFor), Slowness: r.Slowness, Weight: r.Weight,
			}
		}
		all = append(all, reported)
	}
	for i, table := range s.tables {
		table.SetElsewhere(s.now, func(yield func(pimcatalog.HostID, pimflow.Elsewhere) bool) {
			for _, h := range s.hosts {
				if !yield(h.ID, s.sumElsewhere(i, h.ID, all)) {
					return
				}
			}
		})
	}
	s.after(exchangeInterval, s.exchange)
}

// sumElsewhere sums what the other VMs of the data centre of a VM have reported of a backend server.
func (s *simulation) sumElsewhere(vm int, id pimcatalog.HostID, all []map[pimcatalog.HostID]pimflow.Elsewhere) (sum pimflow.Elsewhere) {
	for j, reported := range all {
		if j == vm || s.placers[j].home != s.placers[vm].home {
			continue
		}
		r := reported[id]
		sum.Busy += r.Busy
		sum.Open += r.Open
		sum.AliveAt = max(sum.AliveAt, r.AliveAt)
		sum.Slowness += r.Slowness * r.Weight
		sum.Weight += r.Weight
	}
	if sum.Weight > 0 {
		sum.Slowness /= sum.Weight
	}
	return sum
}

// unevenSpeeds are those of a service with backend servers of several generations.
var unevenSpeeds = []float64{0.6, 0.6, 1, 1, 1.6}

// unevenRun is the outcome of a scenario with uneven backend servers.
type unevenRun struct {
	inTime     float64
	meanAnswer time.Duration
	last       *simulation
}

// runUneven runs a scenario with ten seeds, with the learned speeds or without.
func runUneven(noSpeeds bool, scenario func(s *simulation)) (r unevenRun) {
	requests, inTime, answered, sum := 0, 0, 0, time.Duration(0)
	for seed := range uint64(10) {
		s := newSimulation(seed, false, func() pimpick.Policy { return pimpick.LeastLoaded{} })
		for i, p := range s.placers {
			p.observer = &fakeObserver{table: s.tables[i], noSpeeds: noSpeeds}
		}
		s.slowShare = 0.03
		for i, h := range s.hosts {
			s.speeds[h.ID] = unevenSpeeds[i]
		}
		scenario(s)
		requests += s.requests
		inTime += s.inTime
		answered += s.requests - s.shed
		sum += s.answerTimes
		r.last = s
	}
	r.inTime, r.meanAnswer = float64(inTime)/float64(requests), sum/time.Duration(answered)
	return r
}

// capacity returns the requests per second that all backend servers together can run.
func (s *simulation) capacity() (perSecond float64) {
	for _, h := range s.hosts {
		perSecond += slots * s.speeds[h.ID] * float64(time.Second/meanWork) / (1 + s.slowShare*(slowFactor-1))
	}
	return perSecond
}

// Guards against a cost that gives backend servers of different speeds the same number of requests, so that the slow ones queue
// while the fast ones are idle. Without load, it guards against requests that take longer than they must.
func TestUnevenBackendServers(t *testing.T) {
	for _, load := range []float64{0.1, 0.5, 0.8, 0.95} {
		t.Run(fmt.Sprintf("%.0f%%", 100*load), func(t *testing.T) {
			is := is.New(t)
			scenario := func(s *simulation) {
				s.exchangeUntil = s.now.Add(20 * time.Second)
				s.exchange()
				s.run(load*s.capacity(), 20*time.Second)
			}
			today, learned := runUneven(true, scenario), runUneven(false, scenario)
			t.Logf("without speeds %.4f in time, mean %v", today.inTime, today.meanAnswer)
			t.Logf("with speeds    %.4f in time, mean %v", learned.inTime, learned.meanAnswer)
			for _, h := range learned.last.hosts {
				l := learned.last.tables[0].Load(learned.last.now, h.ID)
				t.Logf("speed %.1f: learned %.2f, %d flows", learned.last.speeds[h.ID], l.Speed, learned.last.placed[h.ID])
			}
			is.True(learned.inTime > today.inTime)
			is.True(learned.meanAnswer < today.meanAnswer)
		})
	}
}

// Guards against a backend server that turns slow and gets as many requests as before, and against one that has recovered and is
// still avoided.
func TestBackendServerTurnsSlowAndRecovers(t *testing.T) {
	is := is.New(t)
	const slow pimcatalog.HostID = 3
	type phase struct{ healthy, slow, soon, later float64 }
	var got phase
	share := func(s *simulation, d time.Duration) float64 {
		before, all := s.placed[slow], s.requests
		s.run(0.6*s.capacity(), d)
		return float64(s.placed[slow]-before) / float64(s.requests-all)
	}
	scenario := func(s *simulation) {
		for _, h := range s.hosts {
			s.speeds[h.ID] = 1
		}
		s.exchangeUntil, s.inPhases = s.now.Add(70*time.Second), true
		s.exchange()
		got.healthy += share(s, 20*time.Second) / 10
		s.speeds[slow] = 0.25
		share(s, 5*time.Second)
		got.slow += share(s, 15*time.Second) / 10
		s.speeds[slow] = 1
		got.soon += share(s, 10*time.Second) / 10
		got.later += share(s, 20*time.Second) / 10
	}
	today := runUneven(true, scenario)
	got = phase{}
	learned := runUneven(false, scenario)
	t.Logf("%.4f in time, %.4f without speeds, shares %+.3v", learned.inTime, today.inTime, got)
	is.True(learned.inTime > today.inTime)
	is.True(got.healthy > 0.17 && got.healthy < 0.23)
	is.True(got.slow < 0.4*got.healthy) // a quarter of the speed
	is.True(got.later > 0.8*got.healthy)
}

// Guards against a VM that waits for its own second miss although the others have seen a backend server that does not answer, and
// against one lost packet, old misses, or misses before a sign of life that keep all VMs away.
func TestMissesOfOtherVMsCountForNewFlows(t *testing.T) {
	const ago = 300 * time.Millisecond
	missed := testNow.Add(-ago)
	for name, tc := range map[string]struct {
		load      Load
		isSuspect bool
	}{
		"no miss":                   {load: Load{}},
		"one miss elsewhere":        {load: Load{MissesElsewhere: 1, MissedElsewhere: missed}},
		"two misses elsewhere":      {load: Load{MissesElsewhere: 2, MissedElsewhere: missed}, isSuspect: true},
		"own miss and another":      {load: Load{Load: pimflow.Load{Misses: 1, MissedAt: missed}, MissesElsewhere: 1, MissedElsewhere: missed}, isSuspect: true},
		"only own misses":           {load: Load{Load: pimflow.Load{Misses: 3, MissedAt: missed}}}, // pimflow.Load.Suspect says so
		"old misses":                {load: Load{MissesElsewhere: 2, MissedElsewhere: testNow.Add(-2 * time.Second)}},
		"many misses":               {load: Load{MissesElsewhere: 9, MissedElsewhere: testNow.Add(-2 * time.Second)}, isSuspect: true},
		"answered since, own":       {load: Load{Load: pimflow.Load{AliveAt: missed + 1}, MissesElsewhere: 2, MissedElsewhere: missed}},
		"answered since, elsewhere": {load: Load{MissesElsewhere: 2, MissedElsewhere: missed, AliveElsewhere: missed + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.load.isSuspectElsewhere(testNow), tc.isSuspect)
			p := placerWith(map[pimcatalog.HostID]Load{1: tc.load})
			is.Equal(p.cost(testNow, &pimcatalog.Host{ID: 1, DataCentre: "ikeja"}) >= suspectCost, tc.isSuspect)
			is.True(!p.IsUnresponsive(testNow, pimcatalog.NewCatalog(1, nil, []*pimcatalog.Host{{ID: 1}}), 1)) // open flows go on
		})
	}
}

// Guards against an idle slow backend server that is preferred to an idle fast one, and against ties that are not random.
func TestFastBackendServersAreFilledInProportion(t *testing.T) {
	is := is.New(t)
	loads := map[pimcatalog.HostID]Load{1: {Load: pimflow.Load{Speed: 0.5}}, 2: {Load: pimflow.Load{Speed: 1.5}}, 3: {}}
	p := placerWith(loads)
	cost := func(id pimcatalog.HostID, busy int) float64 {
		l := loads[id]
		l.Busy = busy
		loads[id] = l
		return p.cost(0, &pimcatalog.Host{ID: id, DataCentre: "ikeja", Slots: 2})
	}
	is.True(cost(2, 0) < cost(3, 0)) // an unknown speed is the mean
	is.True(cost(3, 0) < cost(1, 0))
	is.True(cost(2, 5) > cost(1, 0))                       // the fast one does not take everything
	is.Equal(cost(2, 9)-cost(2, 0), cost(1, 3)-cost(1, 0)) // three times the speed takes three times the requests
	chosen := map[pimcatalog.HostID]int{}
	hosts := []*pimcatalog.Host{{ID: 4}, {ID: 5}, {ID: 6, Leaving: true}, {ID: 7}}
	c := pimcatalog.NewCatalog(1, nil, hosts)
	const flows = 3000
	for range flows {
		chosen[p.Place(0, c, &pimcatalog.Route{Shares: []pimcatalog.Share{{}}}, &pimpacket.Packet{}).Host.ID]++
	}
	for _, id := range []pimcatalog.HostID{4, 5, 7} {
		is.True(chosen[id] > flows*28/100 && chosen[id] < flows*39/100)
	}
}

// tableObserver observes what a flow table holds, as a VM does.
type tableObserver struct{ table *pimflow.Table }

func (o *tableObserver) Work(route netip.AddrPort) (d time.Duration, ok bool) {
	return o.table.Work(route)
}

func (o *tableObserver) Load(now pimclock.Instant, id pimcatalog.HostID) Load {
	return LoadOf(now, o.table, id)
}

func (o *tableObserver) Tried(f pimpacket.Flow) (last, before pimcatalog.HostID) {
	return o.table.Tried(f)
}

func (o *tableObserver) Remote(dc pimid.DataCentre, _ pimcatalog.Service) (perSlot float64, ok bool) {
	return 1, dc == "apapa"
}

// BenchmarkPlace measures the choice among 150 backend servers with load and learned speeds, in one data centre or in three.
func BenchmarkPlace(b *testing.B) {
	for _, dataCentres := range [][]pimid.DataCentre{{"ikeja"}, regionDataCentres} {
		b.Run(fmt.Sprint(len(dataCentres)), func(b *testing.B) { benchmarkPlace(b, dataCentres) })
	}
}

func benchmarkPlace(b *testing.B, dataCentres []pimid.DataCentre) {
	b.Helper()
	const hosts = 150
	now := pimclock.Instant(time.Hour)
	table := pimflow.New(pimflow.DefaultSettings())
	var list []*pimcatalog.Host
	for i := range hosts {
		id := pimcatalog.HostID(0x9e3779b97f4a7c15 * uint64(i+1))
		list = append(list, &pimcatalog.Host{ID: id, Service: "desk", DataCentre: dataCentres[i%len(dataCentres)], Slots: 2})
		p := &pimpacket.Packet{Flow: pimpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(i))}, Seq: 1}
		table.RecordOpening(now, p, id)
	}
	c := pimcatalog.NewCatalog(1, nil, list)
	table.Prune(now, c)
	table.SetElsewhere(now, func(yield func(pimcatalog.HostID, pimflow.Elsewhere) bool) {
		for i, h := range list {
			if !yield(h.ID, pimflow.Elsewhere{Busy: float64(i%7) / 5, Open: float64(i % 9), Slowness: float64(i%5)/10 - 0.2, Weight: 9}) {
				return
			}
		}
	})
	p := New("ikeja", &tableObserver{table: table}, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(1, 1)))
	route := &pimcatalog.Route{Shares: []pimcatalog.Share{{Service: "desk"}}}
	pkt := &pimpacket.Packet{Flags: pimpacket.Open}
	b.ReportAllocs()
	for b.Loop() {
		p.Place(now, c, route, pkt)
	}
}
