package pimadmission

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

const seeds = 5

// sweep runs all loads of a mix with and without admission and returns the sums of all seeds.
func sweep(t *testing.T, mix Mix) (before, after map[float64][]Report) {
	t.Helper()
	before, after = map[float64][]Report{}, map[float64][]Report{}
	for _, load := range Loads {
		for seed := range uint64(seeds) {
			before[load] = append(before[load], Run(DefaultConfig(seed+1, mix, load, false)))
			after[load] = append(after[load], Run(DefaultConfig(seed+1, mix, load, true)))
		}
		for name, reports := range map[string][]Report{"before": before[load], "after": after[load]} {
			r := Sum(reports)
			t.Logf("%s %.1f %-6s goodput %.3f, 503 %d, over cap %d, recovery %d ms, calm missed %d, urgent %.3f (onset %.3f), less urgent %.3f, %+v",
				mix, load, name, r.Goodput, r.QueueFull, r.OverCap, r.RecoveryMs, r.CalmMissed, r.Routes[0].Served(), r.Routes[0].OnsetServed(),
				r.Routes[1].Served(), r.Routes)
		}
	}
	return before, after
}

func TestBurst(t *testing.T) {
	for _, mix := range Mixes {
		before, after := sweep(t, mix)
		for _, load := range Loads {
			t.Run(fmt.Sprintf("%s %.1f", mix, load), func(t *testing.T) {
				is := is.New(t)
				is.True(before[load] != nil && after[load] != nil)
			})
		}
	}
}
