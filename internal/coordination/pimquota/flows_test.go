package pimquota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// flowLimiter opens flows through the pools and refreshes them through random VMs.
type flowLimiter struct {
	s      *sim
	opened map[pimclock.Instant]int
}

func (f *flowLimiter) request(now pimclock.Instant, vm int, admit func()) {
	if f.s.vms[vm].pool.OpenFlow(now, simContract) {
		f.opened[now]++
		admit()
	}
}

func (f *flowLimiter) tick(now pimclock.Instant, vm int) {
	f.s.vms[vm].pool.Tick(now)
	if vm > 0 {
		return
	}
	for at := now.Add(-refreshPeriod); at > 0; at = at.Add(-refreshPeriod) {
		for range f.opened[at] {
			if vm := f.s.spray(); vm >= 0 {
				f.s.vms[vm].pool.RefreshFlow(now, simContract)
			}
		}
	}
}

// Guards against opens that are refused before the limit, and against more open flows than the limit while callers keep
// trying. Without a pool owner, each VM admits whenever its own count is low by chance, so the open flows settle a few
// standard deviations above the threshold, which is four above the share.
func TestFlowLimit(t *testing.T) {
	const limit = 4000
	for _, tt := range []struct {
		name     string
		loss     float64
		min, max int
	}{
		{"pooled", 0.02, 0.98 * limit, 1.005 * limit},
		{"alone", 1, limit, limit + faultVMs*2*flowDeviations*23}, // 23 is the root of the share of 500, rounded up
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(4, faultVMs, Limit{Flows: limit, DataCentreFraction: 1})
			s.loss = tt.loss
			for vm := range s.vms {
				s.publish(vm, faultVMs)
			}
			f := &flowLimiter{s: s, opened: map[pimclock.Instant]int{}}
			s.run(20*time.Second, 100, f)
			is.Equal(len(s.admitted), s.offered) // no refusal below the limit
			s.run(2*time.Minute, 100, f)
			t.Logf("limit %d: %d open", limit, len(s.admitted))
			is.True(tt.min <= len(s.admitted) && len(s.admitted) <= tt.max)
		})
	}
}

// Guards against limits that are divided by the wrong number of VMs, by the wrong weights or with expired terms.
func TestPublicationOf(t *testing.T) {
	is := is.New(t)
	view := &pimview.View{
		Nodes: map[pimid.NodeID]pimview.Node{
			1: {DataCentre: "ikeja"}, 2: {DataCentre: "ikeja"}, 3: {DataCentre: "apapa"}, 4: {DataCentre: "lekki"},
		},
		Contracts: map[pimid.ContractID]pimcontract.Contract{
			1: {Terms: pimcontract.Terms{RateLimit: 90}},
			2: {
				DataCentreWeights: map[pimid.DataCentre]float64{"ikeja": 3, "apapa": 1},
				Plans: []pimcontract.Plan{{
					From: pimcontract.Duration(time.Hour), To: pimcontract.Duration(2 * time.Hour),
					Terms: pimcontract.Terms{RateLimit: 7},
				}},
			},
		},
	}
	p := PublicationOf(view, 2, "ikeja", time.Unix(0, 0).Add(90*time.Minute))
	is.True(p.Listed)
	is.Equal(p.Nodes, 2)
	is.Equal(p.Limits[1], Limit{Rate: 90, DataCentreFraction: 1.0 / 3})
	is.Equal(p.Limits[2], Limit{Rate: 7, DataCentreFraction: 0.75})
	p = PublicationOf(view, 9, "lekki", time.Unix(0, 0))
	is.True(!p.Listed)
	is.Equal(p.Limits[2], Limit{Rate: 0, DataCentreFraction: 0})
}

// Guards against refused opens right after the start of a VM: callers that come back at once are no sign of a full limit.
func TestFlowOpensAfterStartAreAdmitted(t *testing.T) {
	is := is.New(t)
	f := newFlowEstimator(0)
	now := pimclock.Instant(time.Second)
	for range 25 {
		is.True(f.hasRoom(now, 100))
		f.open(now)
	}
}

// Guards against a VM that starts while the flow limit is fully used and opens its whole share again.
func TestStartAtFullFlowLimit(t *testing.T) {
	is := is.New(t)
	const share = 1000
	f := newFlowEstimator(0)
	opened := 0
	for ms := range 30_000 {
		now := pimclock.Instant(time.Duration(ms) * time.Millisecond)
		if ms%(30_000/share) == 0 {
			f.add(now)
		}
		if f.hasRoom(now, share) {
			f.open(now)
			opened++
		}
	}
	t.Logf("%d opened", opened)
	is.True(opened <= share/2)
}
