package pimnode

import (
	"context"
	"maps"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// pollTable holds the results of the polls of the backend servers that this VM owns.
type pollTable struct {
	mu    *sync.Mutex
	hosts map[pimid.BackendID]pollState
}

// pollState holds the number of requests in flight that the last poll returned, zero if it failed, and the number of
// consecutive failed polls.
type pollState struct {
	inFlight int
	failures int
}

func newPollTable() pollTable {
	return pollTable{mu: &sync.Mutex{}, hosts: map[pimid.BackendID]pollState{}}
}

func (t *pollTable) inFlight(id pimid.BackendID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[id].inFlight
}

// update records a poll and returns the number of consecutive failures.
func (t *pollTable) update(id pimid.BackendID, inFlight int, ok bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.hosts[id]
	s.inFlight = inFlight
	s.failures++
	if ok {
		s.failures = 0
	}
	t.hosts[id] = s
	return s.failures
}

// retain drops the backend servers that this VM no longer owns.
func (t *pollTable) retain(owned []pimview.Backend) {
	keep := make(map[pimid.BackendID]bool, len(owned))
	for _, b := range owned {
		keep[b.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.hosts, func(id pimid.BackendID, _ pollState) bool { return !keep[id] })
}

// pollHosts polls the load of all backend servers that this VM owns and announces their status.
func (n *Node) pollHosts(ctx context.Context) {
	const parallel = 16
	owned := n.topology.Load().owned
	n.polls.retain(owned)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, b := range owned {
		g.Go(func() error {
			n.pollHost(ctx, b)
			return nil
		})
	}
	_ = g.Wait()
}

// pollHost polls the load of one backend server. An answer that has waited while this VM stood still is ignored: another VM may have
// announced a later status meanwhile.
func (n *Node) pollHost(ctx context.Context, b pimview.Backend) {
	sentAt := n.clock.Now()
	load, err := n.backends.Load(ctx, b)
	if ctx.Err() != nil && err != nil || n.clock.Now().Sub(sentAt) > callTimeout {
		return
	}
	failures := n.polls.update(b.ID, int(load.InFlight), err == nil)
	n.hosts.Observe(n.clock.Now(), b.ID, err == nil)
	if err != nil {
		if failures >= pollFailureThreshold {
			n.members.ReportBackend(b.ID, pimmember.BackendStatus{Generation: b.Generation, Failed: true})
		}
		return
	}
	n.slots.ReportLoad(b.ID, int(load.InFlight))
	n.hosts.Report(b.ID, load.Generation, load.Connections, n.clock.Now())
	n.members.ReportBackend(b.ID, pimmember.BackendStatus{
		Generation: load.Generation, Draining: load.Draining, Connections: load.Connections,
	})
}
