package pimonce_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// executorOn returns an executor whose slots come from a pimslot.Owner with two slots.
func executorOn(clock pimclock.Clock) (e *pimonce.Executor, cleanup func()) {
	owner, cleanup := pimslot.NewOwner(pimslot.DefaultConfig(), clock)
	owner.SetHosts([]pimslot.Host{{ID: 1, Service: 1, Slots: 2}})
	owner.SetPolicy(pimslot.Policy{Service: 1, Contracts: []pimslot.ContractTerms{
		{ID: 1, Terms: pimcontract.Terms{BorrowLimit: 2}},
	}})
	acquire := func(ctx context.Context, w pimonce.Work, exclude []pimid.BackendID) (pimonce.Slot, error) {
		g, err := owner.Acquire(ctx, pimslot.SlotRequest{
			Service: w.Service, Contract: w.Contract, Deadline: w.Deadline, Exclude: exclude,
		})
		if err != nil {
			return pimonce.Slot{}, err
		}
		release := func(r pimonce.SendResult) {
			_ = owner.Release(g.ID, pimslot.Result{Outcome: r.Reply.Outcome, Shed: r.Shed, Duration: r.Duration})
		}
		return pimonce.Slot{Backend: g.Backend, Generation: g.Generation, ExpiresAt: g.ExpiresAt, Release: release}, nil
	}
	admit := func(context.Context, pimonce.Work) error { return nil }
	return pimonce.NewExecutor(clock, pimonce.Steps{Admit: admit, Acquire: acquire}, pimonce.NewRetryBudget()), cleanup
}

// TestHomeWithSlotOwner guards against requests that run twice, against more concurrent runs than slots, and against
// refusals without the owner's reason when home, executor and slot owner work together.
func TestHomeWithSlotOwner(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	e, cleanup := executorOn(clock)
	defer cleanup()
	self := pimonce.HomeID{Node: 1, Incarnation: 1}
	start := time.Unix(1_000_000, 0)
	home := pimonce.NewHome(pimonce.DefaultConfig(), self, clock, pimonce.NewUnixClock(clock.Now(), start))
	var runs, inUse, excess atomic.Int32
	send := func(context.Context, pimonce.Slot) pimonce.SendResult {
		if inUse.Add(1) > 2 {
			excess.Add(1)
		}
		runs.Add(1)
		inUse.Add(-1)
		return pimonce.SendResult{Reply: pimedge.Reply{Outcome: pimedge.OutcomeAnswered}, Duration: time.Millisecond}
	}
	run := func(tag pimid.RequestTag, c pimid.ContractID) pimedge.Reply {
		r := pimonce.Request{Key: pimonce.Key{Flow: 1, Tag: tag}, Home: self, IssuedAt: uint32(start.Unix()), Contract: c}
		w := pimonce.Work{Service: 1, Contract: c, Deadline: pimclock.Instant(time.Minute)}
		return home.Run(t.Context(), r, func(ctx context.Context, s pimonce.SendTracker) pimedge.Reply {
			return e.Execute(ctx, w, s, send)
		})
	}
	var group sync.WaitGroup
	const requests, copies = 40, 3
	for i := range requests * copies {
		group.Go(func() {
			if reply := run(pimid.RequestTag(i%requests), 1); reply.Outcome != pimedge.OutcomeAnswered {
				t.Errorf("request %d: %+v", i%requests, reply)
			}
		})
	}
	group.Wait()
	is.Equal(runs.Load(), int32(requests)) // each request ran once
	is.Equal(excess.Load(), int32(0))      // within the slots
	refused := run(requests, 9)
	is.Equal(refused.Outcome, pimedge.OutcomeNotRun)
	is.Equal(refused.Reason, pimedge.ReasonNoContract) // the owner's reason reaches the caller
}
