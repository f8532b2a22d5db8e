package pimadmit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against an order of the flows of one priority other than by remaining time, then by work.
func TestOrderOfLimits(t *testing.T) {
	cfg := DefaultSettings()
	urgent, less := Level{Rank: 0, Count: 2}, Level{Rank: 1, Count: 2}
	cases := []struct {
		name          string
		first, second Demand
	}{
		{"urgent before less urgent", Demand{Level: urgent}, Demand{Level: less}},
		{
			"urgent and late before less urgent and in time",
			Demand{Level: urgent, Attempt: 2, Target: 500 * ms},
			Demand{Level: less, Target: 500 * ms},
		},
		{"in time before late", Demand{Level: less, Target: 500 * ms}, Demand{Level: less, Attempt: 2, Target: 500 * ms}},
		{
			"late because of its work",
			Demand{Level: less, Target: 500 * ms, Work: 100 * ms, MeanWork: 100 * ms},
			Demand{Level: less, Target: 500 * ms, Work: 600 * ms, MeanWork: 600 * ms},
		},
		{
			"short before long",
			Demand{Level: less, Work: 10 * ms, MeanWork: 30 * ms},
			Demand{Level: less, Work: 50 * ms, MeanWork: 30 * ms},
		},
		{
			"in time and long before late and short",
			Demand{Level: less, Target: 500 * ms, Work: 60 * ms, MeanWork: 30 * ms},
			Demand{Level: less, Target: 500 * ms, Attempt: 2, Work: 29 * ms, MeanWork: 30 * ms},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(cfg.Limit(&c.first) > cfg.Limit(&c.second))
		})
	}
}

// Guards against a flow that is refused in favour of a less urgent one, with any number of priorities, remaining times and work.
func TestUrgentFlowsHaveTheHigherLimit(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := Settings{QueuePerSlot: 8 * rng.Float64(), Reserve: rng.Float64()}
		random := func(l Level) *Demand {
			return &Demand{
				Level: l, Attempt: rng.IntN(3), Target: time.Duration(rng.IntN(1500)) * ms,
				Work: time.Duration(rng.IntN(200)) * ms, MeanWork: time.Duration(rng.IntN(200)) * ms,
			}
		}
		count := 2 + rng.IntN(5)
		rank := rng.IntN(count - 1)
		urgent, less := random(Level{Rank: rank, Count: count}), random(Level{Rank: rank + 1 + rng.IntN(count-1-rank), Count: count})
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			is.True(cfg.Limit(urgent) >= cfg.Limit(less)-tolerance)
		})
	}
}

// Guards against idle slots while flows are refused, and against limits that are no numbers, for any settings and demands.
func TestLimitsKeepTheSlotsBusy(t *testing.T) {
	extremes := []Demand{
		{},
		{Level: Level{Rank: 3, Count: 4}, Attempt: 2, Target: 1, Timeout: 1, Work: math.MaxInt64, MeanWork: 1},
		{Level: Level{Rank: 1, Count: 2}, Attempt: math.MaxInt, Target: math.MaxInt64, Work: 1, MeanWork: math.MaxInt64},
		{Level: Level{Rank: 0, Count: 1}, Attempt: math.MinInt, Target: -1, Timeout: -1, Work: -1, MeanWork: -1},
	}
	for _, cfg := range []Settings{DefaultSettings(), {}, {QueuePerSlot: 0.1, Reserve: 1}, {QueuePerSlot: 1e6, Reserve: 1}} {
		for _, d := range extremes {
			t.Run(fmt.Sprintf("%+v %+v", cfg, d), func(t *testing.T) {
				is := is.New(t)
				limit := cfg.Limit(&d)
				is.True(limit >= cfg.idleFill() && limit <= 1)
			})
		}
	}
}

// Guards against flows that are held back although the next copy comes too late, and against less urgent ones that are held back: they
// would displace later flows that can still be answered in time.
func TestMayWait(t *testing.T) {
	urgent, less := Level{Rank: 0, Count: 2}, Level{Rank: 1, Count: 2}
	cases := []struct {
		name string
		d    Demand
		want bool
	}{
		{"urgent", Demand{Level: urgent, Target: 500 * ms}, true},
		{"urgent without a target", Demand{Level: urgent}, true},
		{"less urgent", Demand{Level: less, Target: 5000 * ms}, false},
		{"only priority in use", Demand{Level: Level{Rank: 0, Count: 1}, Target: 500 * ms}, true},
		{"second copy in time", Demand{Level: urgent, Attempt: 1, Target: 700 * ms}, true},
		{"third copy after the target", Demand{Level: urgent, Attempt: 1, Target: 600 * ms}, false},
		{"third copy after the target with the work", Demand{Level: urgent, Attempt: 1, Target: 700 * ms, Work: 100 * ms}, false},
		{"last copy", Demand{Level: urgent, Attempt: 2, Target: 5000 * ms}, false},
		{"copy number out of range", Demand{Level: urgent, Attempt: math.MaxInt, Target: 5000 * ms}, false},
		{"next copy after the timeout", Demand{Level: urgent, Attempt: 1, Timeout: 500 * ms}, false},
		{"next copy after the timeout with the work", Demand{Level: urgent, Timeout: 500 * ms, Work: 400 * ms}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.d.MayWait(), c.want)
		})
	}
}
