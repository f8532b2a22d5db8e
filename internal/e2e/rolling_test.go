package e2e

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against records that are lost in a chain of planned stops: each VM hands over its own records and those that
// it took over, also to a VM that started after the home of these records had stopped.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.start(1, 2, 3)
	l := f.startLoad()
	for _, id := range []pimid.NodeID{1, 2, 3} {
		l.awaitAnswers(50)
		f.setNodeState(id, pimview.NodeLeaving)
		f.signal(id, syscall.SIGTERM)
		is.Equal(f.waitForExit(id), 0)
		f.start(id)
	}
	l.awaitAnswers(50)
	outcomes := l.finish()
	l.check(t)
	is.Equal(outcomes[pimcaller.Answered], len(l.results))
}

// Guards against requests that run twice or get a false outcome when all open connections to the backend servers stall
// while new ones work: an idempotent request is answered over another connection, and a non-idempotent request that was
// already sent has the outcome unknown and runs at most once.
func TestStalledConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.start(1, 2)
	l := f.startLoad()
	l.awaitAnswers(50)
	for _, b := range f.backends {
		b.StallConnections()
	}
	var wg sync.WaitGroup
	gets := make([]pimcaller.Result, workers)
	for i := range gets {
		wg.Go(func() { gets[i] = l.caller.Get(context.Background(), "/board?id=get") })
	}
	wg.Wait()
	l.awaitAnswers(50)
	outcomes := l.finish()
	l.check(t)
	for _, res := range gets {
		is.Equal(res.Outcome, pimcaller.Answered) // new connections work
		var a standbackend.Answer
		is.NoErr(json.Unmarshal(res.Body, &a))
		is.Equal(a.ID, "get")
	}
	is.True(outcomes[pimcaller.Unknown] > 0) // requests were on the stalled connections
	is.Equal(outcomes[pimcaller.NotRun], 0)  // they had been sent
	is.Equal(outcomes[pimcaller.Answered]+outcomes[pimcaller.Unknown], len(l.results))
}
