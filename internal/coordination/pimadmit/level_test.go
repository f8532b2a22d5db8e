package pimadmit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

const start = pimclock.Instant(time.Hour)

// Guards against places that are kept for a route that is published but hardly used.
func TestHardlyUsedPrioritiesDoNotCount(t *testing.T) {
	is := is.New(t)
	var a Activity
	is.Equal(a.Level(start, 2), Level{}) // without any flow
	a.Record(start, 1)
	for range 200 {
		a.Record(start, 2)
	}
	is.Equal(a.Level(start, 2), Level{Rank: 0, Count: 1})
	is.Equal(a.Level(start, 1), Level{Rank: 0, Count: 2}) // the flow itself counts
	for range 5 {
		a.Record(start, 1)
	}
	is.Equal(a.Level(start, 2), Level{Rank: 1, Count: 2})
}

// Guards against places that stay reserved after the urgent flows have ended, and against urgent flows that get none when they return.
func TestActivityDecaysAndReturns(t *testing.T) {
	is := is.New(t)
	var a Activity
	for range 100 {
		a.Record(start, 1)
		a.Record(start, 2)
	}
	is.Equal(a.Level(start, 2), Level{Rank: 1, Count: 2})
	later := start.Add(8 * activityHalfLife)
	for range 100 {
		a.Record(later, 2)
	}
	is.Equal(a.Level(later, 2), Level{Rank: 0, Count: 1})
	for range 2 {
		a.Record(later, 1)
	}
	is.Equal(a.Level(later, 1), Level{Rank: 0, Count: 2})
	is.Equal(a.Level(later, 2), Level{Rank: 1, Count: 2})
}

// Guards against a wrong order of priorities at the ends of their range: an urgent flow would get the limit of the least urgent one.
func TestOrderOfExtremePriorities(t *testing.T) {
	sorted := []pimcatalog.Priority{math.MinInt, -7, 0, 7, math.MaxInt}
	for seed := range uint64(50) {
		is := is.New(t)
		var a Activity
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 10 {
			for _, i := range rng.Perm(len(sorted)) {
				a.Record(start, sorted[i])
			}
		}
		for rank, p := range sorted {
			is.Equal(a.Level(start, p), Level{Rank: rank, Count: len(sorted)})
		}
	}
}

// Guards against growth without bound when the priorities of routes change often.
func TestPrioritiesWithoutFlowsAreForgotten(t *testing.T) {
	is := is.New(t)
	var a Activity
	for i := range 1000 {
		a.Record(start.Add(time.Duration(i)*time.Minute), pimcatalog.Priority(i))
	}
	is.True(len(a.priorities) < 10)
}
