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

// Guards against refusing every request for 15 s after the whole fleet was restarted, and against using a share of a
// list that other VMs may not know yet.
func TestShareOfARestartedVMFollowsTheAgeOfTheList(t *testing.T) {
	wall := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for name, tc := range map[string]struct {
		publishedAt time.Time
		hasShare    bool
	}{
		"old list":     {publishedAt: wall.Add(-time.Minute), hasShare: true},
		"recent list":  {publishedAt: wall.Add(-time.Second), hasShare: false},
		"undated list": {publishedAt: time.Time{}, hasShare: false},
		"future list":  {publishedAt: wall.Add(time.Hour), hasShare: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := &pimview.View{
				Nodes: map[pimid.NodeID]pimview.Node{1: {ID: 1, DataCentre: "patan", PublishedAt: tc.publishedAt}},
				Contracts: map[pimid.ContractID]pimcontract.Contract{
					1: {ID: 1, Terms: pimcontract.Terms{RateLimit: 100, Burst: 10}},
				},
			}
			m := newMember(DefaultGrowthDelay)
			var clock pimclock.Manual
			m.publish(clock.Now(), PublicationOf(view, 1, "patan", wall))
			is.Equal(m.share(clock.Now(), m.accounts[1]).rate > 0, tc.hasShare)
		})
	}
}

// Guards against a VM that uses its share while the platform is removing it.
func TestLeavingVMHasNoShare(t *testing.T) {
	is := is.New(t)
	view := &pimview.View{Nodes: map[pimid.NodeID]pimview.Node{
		1: {ID: 1, DataCentre: "patan", State: pimview.NodeLeaving},
		2: {ID: 2, DataCentre: "patan", State: pimview.NodeLive},
	}}
	pub := PublicationOf(view, 1, "patan", time.Time{})
	is.Equal(pub.Nodes, 1)
	is.Equal(pub.Listed, false)
}
