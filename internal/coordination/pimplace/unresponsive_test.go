package pimplace

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const testNow = pimclock.Instant(time.Hour)

// observation describes what a VM has observed of six backend servers.
type observation struct {
	// misses are the consecutive flows without an answer; zero means that the backend server has answered recently, and
	// a negative number that it was not used.
	misses []int
	// firstAgo is how long ago the first of them was sent, and lastAgo how long ago the last was detected.
	firstAgo, lastAgo time.Duration
	// onlyOpening is set if at most one of them belongs to an open flow; the others are opening packets.
	onlyOpening bool
	// elsewhere is the last sign of life at other VMs.
	elsewhere pimclock.Instant
}

func (o *observation) load(i int) (l Load) {
	l.AliveElsewhere = o.elsewhere
	switch {
	case o.misses[i] > 0:
		l.Load = pimflow.Load{
			Misses: o.misses[i], OpenFlowMisses: o.misses[i], MissedFrom: testNow.Add(-o.firstAgo),
			MissedAt: testNow.Add(-o.lastAgo),
			AliveAt:  testNow.Add(-o.firstAgo - time.Second),
		}
	case o.misses[i] == 0:
		l.AliveAt = testNow.Add(-500 * time.Millisecond)
	}
	if o.onlyOpening {
		l.OpenFlowMisses = min(l.OpenFlowMisses, 1)
	}
	return l
}

// Guards against resets of flows whose backend server works:
//   - the fault is at the VM (simulated site jhankri-ktm-grown, run fresh-e979: overloaded VMs reset 93 to 173 flows;
//     run hunt-a6d8-7: 3 flows, after 40 ms of retransmitted packets);
//   - the evidence is out of date (simulated site ambmn-yard, deploy/days/broken-links.toml varied with seed
//     215912412136: a flow was reset 4.5 s after a network cut had ended);
//   - the backend server answers other VMs, or only accepts no new flows;
//   - single packets were lost.
func TestUnresponsive(t *testing.T) {
	const long, short = 1200 * time.Millisecond, 600 * time.Millisecond
	for name, tc := range map[string]struct {
		observation
		unresponsive []pimcatalog.HostID
	}{
		"nothing missed":         {observation{misses: []int{0, 0, 0, 0, 0, 0}}, nil},
		"three flows in a row":   {observation{misses: []int{3, 0, 0, 0, 0, 0}, firstAgo: long}, []pimcatalog.HostID{1}},
		"one":                    {observation{misses: []int{1, 0, 0, 0, 0, 0}, firstAgo: long}, nil},
		"two":                    {observation{misses: []int{2, 0, 0, 0, 0, 0}, firstAgo: long}, nil},
		"takes no new flows":     {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, onlyOpening: true}, nil},
		"no recent miss":         {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: 2 * long, lastAgo: long}, nil},
		"silent too briefly":     {observation{misses: []int{9, 0, 0, 0, 0, 0}, firstAgo: short}, nil},
		"alive elsewhere since":  {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, elsewhere: testNow.Add(-short)}, nil},
		"alive elsewhere before": {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, elsewhere: testNow.Add(-2 * long)}, []pimcatalog.HostID{1}},
		"two of six":             {observation{misses: []int{3, 4, 0, 0, 0, 0}, firstAgo: long}, []pimcatalog.HostID{1, 2}},
		"half do not answer":     {observation{misses: []int{3, 4, 1, 0, 0, 0}, firstAgo: long}, nil},
		"nobody answers":         {observation{misses: []int{9, 9, 9, 9, 9, 9}, firstAgo: long}, nil},
		"no other was used":      {observation{misses: []int{3, -1, -1, -1, -1, -1}, firstAgo: long}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			loads := map[pimcatalog.HostID]Load{}
			var hosts []*pimcatalog.Host
			for i := range tc.misses {
				id := pimcatalog.HostID(i + 1)
				hosts = append(hosts, &pimcatalog.Host{ID: id, Service: "desk", DataCentre: "ikeja"})
				loads[id] = tc.load(i)
			}
			p, c := placerWith(loads), pimcatalog.NewCatalog(1, nil, hosts)
			var got []pimcatalog.HostID
			for _, h := range hosts {
				if p.IsUnresponsive(testNow, c, h.ID) {
					got = append(got, h.ID)
				}
			}
			is.New(t).True(slices.Equal(got, tc.unresponsive))
		})
	}
}
