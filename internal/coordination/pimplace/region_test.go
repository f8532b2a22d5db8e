package pimplace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The simulated region: three data centres, each with three VMs and four backend servers. A summary counts for summaryTTL, and is
// sent every second.
const (
	regionHosts     = 4
	regionVMs       = 3
	summaryInterval = time.Second
	summaryTTL      = 8 * time.Second
)

var regionDataCentres = []pimid.DataCentre{"ikeja", "apapa", "lekki"}

// region is a simulation of several data centres.
type region struct {
	*simulation
	// load is the offered load of each data centre, as a share of its capacity.
	load []float64
	// known holds the summaries that each data centre has received, with their time.
	known []map[pimid.DataCentre]summary
	// cut is set while the data centres do not reach each other, and noSummaries if they never send any.
	cut, noSummaries bool
}

type summary struct {
	perSlot float64
	at      pimclock.Instant
}

func newRegion(seed uint64, noSummaries bool) *region {
	r := &region{
		simulation:  newSimulation(seed, false, func() pimpick.Policy { return pimpick.LeastLoaded{} }),
		noSummaries: noSummaries, load: make([]float64, len(regionDataCentres)),
	}
	r.hosts, r.tables, r.placers = nil, nil, nil
	for _, dc := range regionDataCentres {
		r.known = append(r.known, map[pimid.DataCentre]summary{})
		for range regionHosts {
			id := pimcatalog.HostID(len(r.hosts) + 1)
			r.hosts = append(r.hosts, &pimcatalog.Host{ID: id, Service: "desk", DataCentre: dc, Slots: slots})
		}
		for range regionVMs {
			n := len(r.tables)
			table := pimflow.New(pimflow.DefaultSettings())
			r.tables = append(r.tables, table)
			o := &fakeObserver{table: table, remote: map[pimid.DataCentre]float64{}}
			r.placers = append(r.placers, New(dc, o, pimpick.LeastLoaded{}, rand.New(rand.NewPCG(seed, uint64(n)))))
		}
	}
	r.catalog = pimcatalog.NewCatalog(1, nil, r.hosts)
	r.chooseVM = r.vmByLoad
	r.inPhases, r.exchangeUntil = true, r.now.Add(time.Hour)
	r.exchange()
	r.summarise()
	return r
}

// vmByLoad chooses a VM of a data centre by the loads of the data centres.
func (r *region) vmByLoad() int {
	x := r.rng.Float64() * r.total()
	for dc, load := range r.load {
		if x -= load; x < 0 {
			return dc*regionVMs + r.rng.IntN(regionVMs)
		}
	}
	return 0
}

func (r *region) total() (sum float64) {
	for _, load := range r.load {
		sum += load
	}
	return sum
}

// summarise lets each data centre send its load to the others, and forgets what is too old.
func (r *region) summarise() {
	for i, home := range regionDataCentres {
		d := r.placers[i*regionVMs].Summarise(r.now, r.catalog)["desk"]
		for j := range regionDataCentres {
			if i != j && !r.cut && !r.noSummaries {
				r.known[j][home] = summary{perSlot: d.PerSlot, at: r.now}
			}
		}
	}
	for vm, p := range r.placers {
		remote := p.observer.(*fakeObserver).remote
		clear(remote)
		for dc, s := range r.known[vm/regionVMs] {
			if r.now.Sub(s.at) <= summaryTTL {
				remote[dc] = s.perSlot
			}
		}
	}
	r.after(summaryInterval, r.summarise)
}

// phase offers the given loads for the duration d, and returns the share of requests answered in time, that of requests refused by
// a full queue, and that of flows that crossed.
func (r *region) phase(d time.Duration, load ...float64) (inTime, shed, crossed float64) {
	r.load = load
	requests, in, full, across := r.requests, r.inTime, r.shed, r.crossed
	perSecond := regionHosts * slots * float64(time.Second/meanWork)
	r.run(r.total()*perSecond, d)
	n := float64(r.requests - requests)
	return float64(r.inTime-in) / n, float64(r.shed-full) / n, float64(r.crossed-across) / n
}

// Guards against one data centre that refuses requests while others are idle, and against load that swings between them: the
// data centres together have room for all.
func TestOneDataCentreUnderFourTimesItsLoad(t *testing.T) {
	is := is.New(t)
	const normal = 0.4
	var fixed, summaries struct{ inTime, shed, crossed float64 }
	const seeds = 5
	for seed := range uint64(seeds) {
		for _, r := range []*region{newRegion(seed, true), newRegion(seed, false)} {
			of := &summaries
			if r.noSummaries {
				of = &fixed
			}
			_, _, crossed := r.phase(10*time.Second, normal, normal, normal)
			is.Equal(crossed, 0.0)
			inTime, shed, crossed := r.phase(10*time.Second, 4*normal, normal/4, normal/4)
			of.inTime += inTime / seeds
			of.shed += shed / seeds
			of.crossed += crossed / seeds
			r.phase(2*time.Second, normal, normal, normal)
			_, _, crossed = r.phase(10*time.Second, normal, normal, normal)
			is.Equal(crossed, 0.0) // no effect is left
		}
	}
	t.Logf("fixed surcharge %.3f, with summaries %.3f", fixed, summaries)
	is.True(summaries.shed < fixed.shed/3)
	is.True(summaries.inTime > 2*fixed.inTime)
	is.True(summaries.crossed > 0.2)
}

// Guards against flows that cross data centres although the own one has room, whatever the load of the others.
func TestCrossingIsRareWithRoom(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		r := newRegion(seed, false)
		_, _, crossed := r.phase(20*time.Second, 0.85, 0.1, 0.1)
		t.Logf("%.5f crossed", crossed)
		is.True(crossed < 0.001)
	}
}

// Guards against old summaries that draw flows to a data centre that was cut off, and against data centres that wait for a
// summary for ever.
func TestSummaryOfACutDataCentreIsNotUsed(t *testing.T) {
	is := is.New(t)
	r := newRegion(1, false)
	const busy = 1.5
	_, _, before := r.phase(10*time.Second, busy, 0.1, 0.1)
	r.cut = true
	r.phase(summaryTTL+summaryInterval, busy, 0.1, 0.1)
	_, _, during := r.phase(10*time.Second, busy, 0.1, 0.1)
	r.cut = false
	r.phase(2*summaryInterval, busy, 0.1, 0.1)
	_, _, after := r.phase(10*time.Second, busy, 0.1, 0.1)
	t.Logf("crossed: %.3f before, %.3f during and %.3f after the cut", before, during, after)
	is.True(before > 0.2 && after > 0.2)
	is.True(during < 0.01)
}

// Guards against an overloaded data centre that sends its flows to another one without room, or to the busier of two.
func TestIdleDataCentreIsPreferred(t *testing.T) {
	is := is.New(t)
	hosts := []*pimcatalog.Host{
		{ID: 1, DataCentre: "ikeja", Slots: 2}, {ID: 2, DataCentre: "apapa", Slots: 2}, {ID: 3, DataCentre: "lekki", Slots: 2},
	}
	p := placerWith(map[pimcatalog.HostID]Load{})
	o := p.observer.(*fakeObserver)
	costs := func(busyHere int, apapa, lekki float64) (costs [3]float64) {
		p.remote = nil
		o.remote = map[pimid.DataCentre]float64{"apapa": apapa, "lekki": lekki}
		o.loads[1] = Load{Load: pimflow.Load{Busy: busyHere}}
		for i, h := range hosts {
			costs[i] = p.cost(0, h)
		}
		return costs
	}
	c := costs(7, 0, 0.5)
	is.True(c[0] < c[1] && c[1] < c[2]) // 3.5 requests per slot
	c = costs(9, 0.6, 0.3)
	is.True(c[2] < c[1] && c[1] < c[0])
	c = costs(9, 2, 3)
	is.True(c[0] < c[1] && c[1] < c[2])
	delete(o.remote, "lekki")
	p.remote = nil
	is.Equal(p.cost(0, hosts[2]), 1.0+remoteCost)
}
