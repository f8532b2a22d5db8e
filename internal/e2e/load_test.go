package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	workers = 8
	flows   = 20
)

// load sends POST requests without a pause from several goroutines and keeps flows open.
type load struct {
	f       *fleet
	caller  *pimcaller.Caller
	flows   []*pimcaller.Flow
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	results map[string]pimcaller.Result
	// answered receives a value after an answer, unless it holds one already.
	answered chan struct{}
}

// startFleetWithLoad starts VMs and a load, and returns after at least 50 answers.
func startFleetWithLoad(t *testing.T, ids ...pimid.NodeID) (f *fleet, l *load) {
	f = newFleet(t)
	f.start(ids...)
	l = f.startLoad()
	l.awaitAnswers(50)
	return f, l
}

func (f *fleet) startLoad() *load {
	is := is.New(f.t)
	caller, cleanup, err := pimcaller.Dial(pimcaller.Config{
		Service: f.service, Timeout: 20 * time.Second, AckTimeout: 200 * time.Millisecond,
		MaxAckTimeout: 400 * time.Millisecond,
		Refresh:       200 * time.Millisecond, SilenceTimeout: waitTimeout,
	})
	is.NoErr(err)
	f.t.Cleanup(cleanup)
	l := &load{
		f: f, caller: caller, stop: make(chan struct{}), results: map[string]pimcaller.Result{},
		answered: make(chan struct{}, 1),
	}
	for range flows {
		flow, err := caller.Open(context.Background(), "/feed")
		is.NoErr(err)
		l.flows = append(l.flows, flow)
	}
	for w := range workers {
		l.wg.Go(func() { l.loop(w) })
	}
	return l
}

func (l *load) loop(worker int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		id := fmt.Sprintf("%d-%d", worker, i)
		res := l.caller.Post(context.Background(), "/order?id="+id, []byte("x"))
		l.mu.Lock()
		l.results[id] = res
		l.mu.Unlock()
		if res.Outcome == pimcaller.Answered {
			select {
			case l.answered <- struct{}{}:
			default:
			}
		}
	}
}

// awaitAnswers waits for n answers; the first one may have arrived before the call. Tests call it before and after an
// event, so that requests are answered on both sides of the event.
func (l *load) awaitAnswers(n int) {
	l.f.t.Helper()
	timeout := time.After(waitTimeout)
	for range n {
		select {
		case <-l.answered:
		case <-timeout:
			l.f.t.Fatalf("fewer than %d answers within %s", n, waitTimeout)
		}
	}
}

// awaitNoNewWork waits until a leaving backend server has run no new request during answersOfOthers further answers.
// Other tests check the time limit of the drain with a manual clock.
func (l *load) awaitNoNewWork(b *standbackend.Server) {
	l.f.t.Helper()
	const answersOfOthers = 200
	for before := -1; len(b.Executed()) != before; {
		before = len(b.Executed())
		l.awaitAnswers(answersOfOthers)
	}
}

// finish stops the load and returns the number of requests by outcome.
func (l *load) finish() map[pimcaller.Outcome]int {
	close(l.stop)
	l.wg.Wait()
	outcomes := map[pimcaller.Outcome]int{}
	for id, res := range l.results {
		outcomes[res.Outcome]++
		if res.Outcome != pimcaller.Answered {
			l.f.t.Logf("request %s: %s, reason %s", id, res.Outcome, res.Reason)
		}
	}
	return outcomes
}

// check verifies the invariants that hold under every fault of the VMs.
func (l *load) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	executed := map[string]int{}
	for _, b := range l.f.backends {
		for id, n := range b.Executed() {
			executed[id] += n
		}
		is.Equal(b.Stats().Misrouted, int64(0)) // no packet reached another service
	}
	for id, n := range executed {
		is.Equal(n, 1) // a post ran more than once
		_ = id
	}
	for id, res := range l.results {
		switch res.Outcome {
		case pimcaller.Answered:
			var a standbackend.Answer
			is.NoErr(json.Unmarshal(res.Body, &a))
			is.Equal(a.ID, id) // the answer belongs to its request
			is.Equal(executed[id], 1)
		case pimcaller.NotRun:
			is.Equal(executed[id], 0) // a request with the outcome not_run did not run
		}
	}
	for _, flow := range l.flows {
		is.NoErr(flow.Err()) // no flow broke
	}
}
