package pimhistory

import (
	"testing"

	"github.com/matryer/is"
)

// TestAtMostOnce guards against requests that run twice, requests that are reported as not run although they ran, and
// answers to other requests. The faults are lost, duplicated and late packets, stopped, paused and partitioned homes,
// and handovers.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		h := Run(DefaultConfig(seed+1, HomeVM))
		c := h.Counts()
		t.Logf("seed %d: %+v", seed+1, c)
		is.True(c.Runs > 100 && c.NotRun > 50 && c.Unknown > 50) // the run reaches all outcomes
		is.Equal(h.Violations(), nil)                            // invariants
		is.True(h.Linearizable())                                // the history of every request is linearizable
	}
}

// TestCheckerFindsDoubleRuns guards against checks that accept everything: deduplication at the entry VM must fail both
// of them.
func TestCheckerFindsDoubleRuns(t *testing.T) {
	is := is.New(t)
	h := Run(DefaultConfig(1, EntryVM))
	t.Logf("%d violations in %+v", len(h.Violations()), h.Counts())
	is.True(len(h.Violations()) > 0) // invariants
	is.True(!h.Linearizable())       // the history is not linearizable
}
