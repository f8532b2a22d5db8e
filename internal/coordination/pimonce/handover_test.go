package pimonce

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// TestHandoverKeepsTheOrderOfTheChain guards against a chain of planned stops in which a VM accepts the tokens of its
// predecessor before those of the homes whose records the predecessor had taken over: a request for the first VM of the
// chain is then relayed along the chain to a VM that does not hold its records yet.
func TestHandoverKeepsTheOrderOfTheChain(t *testing.T) {
	is := is.New(t)
	const length = 6
	clock := &pimclock.Manual{}
	id := func(i int) HomeID { return HomeID{Node: pimid.NodeID(i), Incarnation: 1} }
	home := newHome(clock, id(1), DefaultConfig(), 0)
	for i := 2; i <= length; i++ {
		home.Stop()
		batches, err := home.Export(id(i))
		is.NoErr(err)
		next := newHome(clock, id(i), DefaultConfig(), 0)
		for _, b := range batches {
			is.NoErr(next.Import(b))
			for earlier := 1; earlier < int(b.Home.Node); earlier++ {
				is.True(next.Accepts(id(earlier))) // stopped before the home of this batch
			}
		}
		home = next
	}
}
