package pimquota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against refusals below the limit where the share of a VM holds less than one permit: the pool must then collect
// as many shares as the demand needs, since no VM can use its own.
func TestSmallSharesOfALargeFleet(t *testing.T) {
	is := is.New(t)
	const n, limit, demand = 380, 100, 50
	f := newFleet(n, scaleBusy)
	start := pimclock.Instant(time.Hour + scaleWarmUp)
	pub := Publication{Nodes: n, Listed: true, InForce: time.Hour, Limits: map[pimid.ContractID]Limit{
		0: {Rate: limit, Burst: 50, DataCentreFraction: 1},
	}}
	for i := range n {
		pub.Members = append(pub.Members, pimid.NodeID(i))
	}
	f.each(func(i int) { f.pools[i].Publish(start, pub) })
	for now := start; now.Sub(start) < 4*time.Second; now = now.Add(scaleStep) {
		for vm := range n {
			f.offer(now, vm, 0, f.poisson(demand/float64(n)))
		}
		f.each(func(i int) { f.pools[i].Tick(now) })
		f.exchange(now)
	}
	t.Logf("admitted %d of %d", f.admitted[0].Load(), f.asked[0])
	is.True(float64(f.admitted[0].Load()) >= 0.97*float64(f.asked[0]))
}
