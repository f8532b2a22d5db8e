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

// observation describes what a VM knows of six backend servers.
type observation struct {
	// misses are the flows in a row without an answer; zero means that it has answered lately, below zero that nobody
	// has tried it.
	misses []int
	// firstAgo is when the first of them was sent, and lastAgo when the last was noticed.
	firstAgo, lastAgo time.Duration
	// onlyOpening is set if all but one of them are opening packets.
	onlyOpening bool
	// elsewhere is the last sign of life that others saw.
	elsewhere pimclock.Instant
}

func (s *observation) load(i int) (l Load) {
	l.AliveElsewhere = s.elsewhere
	switch {
	case s.misses[i] > 0:
		l.Load = pimflow.Load{
			Misses: s.misses[i], Repeated: s.misses[i], MissedFrom: testNow.Add(-s.firstAgo),
			MissedAt: testNow.Add(-s.lastAgo),
			AliveAt:  testNow.Add(-s.firstAgo - time.Second),
		}
	case s.misses[i] == 0:
		l.AliveAt = testNow.Add(-500 * time.Millisecond)
	}
	if s.onlyOpening {
		l.Repeated = min(l.Repeated, 1)
	}
	return l
}

// Guards against a fault on the side of the VM that is taken for the death of backend servers (jhankri-ktm-grown,
// fresh-e979: 93 to 173 flows reset by VMs that did not keep up; hunt-a6d8-7: 3, after 40 ms of repeated packets), against
// a verdict that outlives its evidence (ambmn-yard, broken-links 215912412136: 4.5 s after a cut had ended, a flow was reset
// whose backend server served), against one that answers other VMs or takes no new flows and is condemned, and against single losses.
func TestUnresponsive(t *testing.T) {
	const long, short = 1200 * time.Millisecond, 600 * time.Millisecond
	for name, tc := range map[string]struct {
		observation
		unresponsive []pimcatalog.HostID
	}{
		"nothing missed":          {observation{misses: []int{0, 0, 0, 0, 0, 0}}, nil},
		"three flows in a row":    {observation{misses: []int{3, 0, 0, 0, 0, 0}, firstAgo: long}, []pimcatalog.HostID{1}},
		"one":                     {observation{misses: []int{1, 0, 0, 0, 0, 0}, firstAgo: long}, nil},
		"two":                     {observation{misses: []int{2, 0, 0, 0, 0, 0}, firstAgo: long}, nil},
		"takes no new flows":      {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, onlyOpening: true}, nil},
		"nothing missed lately":   {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: 2 * long, lastAgo: long}, nil},
		"silent for a short time": {observation{misses: []int{9, 0, 0, 0, 0, 0}, firstAgo: short}, nil},
		"others see it alive":     {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, elsewhere: testNow.Add(-short)}, nil},
		"others saw it before":    {observation{misses: []int{5, 0, 0, 0, 0, 0}, firstAgo: long, elsewhere: testNow.Add(-2 * long)}, []pimcatalog.HostID{1}},
		"two of six":              {observation{misses: []int{3, 4, 0, 0, 0, 0}, firstAgo: long}, []pimcatalog.HostID{1, 2}},
		"half do not answer":      {observation{misses: []int{3, 4, 1, 0, 0, 0}, firstAgo: long}, nil},
		"nobody answers":          {observation{misses: []int{9, 9, 9, 9, 9, 9}, firstAgo: long}, nil},
		"nobody else was tried":   {observation{misses: []int{3, -1, -1, -1, -1, -1}, firstAgo: long}, nil},
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
