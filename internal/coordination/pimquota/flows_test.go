package pimquota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against opens that are refused before the limit, and against more open flows than the estimate explains: while
// callers keep trying, each VM admits whenever its own count is low by chance, so the open flows settle a few standard
// deviations above the threshold, which is four above the share.
func TestFlowLimit(t *testing.T) {
	is := is.New(t)
	const vms, limit = 8, 4000
	rng := rand.New(rand.NewPCG(4, 4))
	pools := make([]*Pool, vms)
	for i := range pools {
		pools[i] = New(Config{})
		pools[i].Publish(0, Publication{Nodes: vms, Listed: true, Limits: map[pimid.ContractID]Limit{
			simContract: {Flows: limit, Part: 1},
		}})
	}
	var opened []pimclock.Instant
	firstRefusal := 0
	for now := pimclock.Instant(0); now < pimclock.Instant(5*time.Minute); now = now.Add(50 * time.Millisecond) {
		for _, at := range opened {
			if at < now && now.Sub(at)%refreshPeriod == 0 {
				pools[rng.IntN(vms)].RefreshFlow(now, simContract)
			}
		}
		for range 2 {
			if pools[rng.IntN(vms)].OpenFlow(now, simContract) {
				opened = append(opened, now)
			} else if firstRefusal == 0 {
				firstRefusal = len(opened)
			}
		}
	}
	t.Logf("limit %d: first refusal at %d open flows, %d open at the end", limit, firstRefusal, len(opened))
	is.True(firstRefusal >= limit)
	is.True(len(opened) <= limit+vms*2*flowDeviations*23) // 23 is the root of the share of 500, rounded up
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
	is.Equal(p.Limits[1], Limit{Rate: 90, Part: 1.0 / 3})
	is.Equal(p.Limits[2], Limit{Rate: 7, Part: 0.75})
	p = PublicationOf(view, 9, "lekki", time.Unix(0, 0))
	is.True(!p.Listed)
	is.Equal(p.Limits[2], Limit{Rate: 0, Part: 0})
}
