package pimslot

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func newOwner(clock pimclock.Clock) (o *Owner, cleanup func()) {
	o, cleanup = NewOwner(DefaultConfig(), clock)
	o.SetHosts(hostsOf(1, nil))
	o.SetPolicy(Policy{Service: 1, Contracts: []ContractTerms{terms(1, 0, 0, 100, 1, 1)}})
	return o, cleanup
}

func slotRequest() SlotRequest {
	return SlotRequest{Service: 1, Contract: 1, Deadline: pimclock.Instant(time.Hour)}
}

// TestConcurrentAcquire guards against more grants than slots and against waiters that are never woken.
func TestConcurrentAcquire(t *testing.T) {
	is := is.New(t)
	o, cleanup := newOwner(&pimclock.Manual{})
	defer cleanup()
	var mu sync.Mutex
	var group sync.WaitGroup
	inUse, most := 0, 0
	for range 64 {
		group.Go(func() {
			g, err := o.Acquire(t.Context(), slotRequest())
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			inUse++
			most = max(most, inUse)
			inUse--
			mu.Unlock()
			if err := o.Release(g.ID, Result{Outcome: pimedge.OutcomeAnswered, Duration: time.Millisecond}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	is.True(most <= 2) // one host with two slots
}

// TestAcquireEnds guards against calls that hang or leak slots when ctx ends or the owner is closed.
func TestAcquireEnds(t *testing.T) {
	is := is.New(t)
	o, cleanup := newOwner(&pimclock.Manual{})
	first, err := o.Acquire(t.Context(), slotRequest())
	is.NoErr(err)
	_, err = o.Acquire(t.Context(), slotRequest())
	is.NoErr(err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = o.Acquire(ended, slotRequest())
	is.True(errors.Is(err, context.Canceled))
	is.Equal(o.core.Load(1).Waiting, 0) // the request was withdrawn
	unknown := slotRequest()
	unknown.Contract = 9
	_, err = o.Acquire(t.Context(), unknown)
	var refusal *RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, pimedge.ReasonNoContract)
	is.NoErr(o.Release(first.ID, Result{}))
	is.True(errors.Is(o.Release(first.ID, Result{}), ErrUnknownGrant)) // released twice
	cleanup()
	_, err = o.Acquire(t.Context(), slotRequest())
	is.True(errors.Is(err, ErrClosed))
}

// BenchmarkAcquireRelease measures one grant without waiting requests and its release.
func BenchmarkAcquireRelease(b *testing.B) {
	clock := &pimclock.Manual{}
	o, cleanup := newOwner(clock)
	defer cleanup()
	b.ReportAllocs()
	for b.Loop() {
		g, err := o.Acquire(b.Context(), slotRequest())
		if err != nil {
			b.Fatal(err)
		}
		if err := o.Release(g.ID, Result{Outcome: pimedge.OutcomeAnswered, Duration: time.Millisecond}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkContended measures one offer and one release while 20 contracts wait for 12 slots.
func BenchmarkContended(b *testing.B) {
	const contracts = 20
	core := NewCore(DefaultConfig())
	core.SetHosts(0, hostsOf(6, nil))
	p := Policy{Service: 1, TotalSlots: 12}
	for i := range pimid.ContractID(contracts) {
		p.Contracts = append(p.Contracts, terms(i, 0, 0, 12, 1, int(i%3)))
	}
	core.SetPolicy(0, p)
	var grants []GrantID
	collect := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Refusal == nil {
				grants = append(grants, d.Grant.ID)
			}
		}
	}
	deadline := pimclock.Instant(1000 * time.Hour)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := pimclock.Instant(i) * pimclock.Instant(time.Microsecond)
		collect(core.Offer(now, OfferID(i), SlotRequest{Service: 1, Contract: pimid.ContractID(i % contracts), Deadline: deadline}))
		if i < 40 {
			continue
		}
		g := grants[0]
		grants = grants[1:]
		d, err := core.Release(now, g, Result{Outcome: pimedge.OutcomeAnswered, Duration: 50 * time.Millisecond})
		if err != nil {
			b.Fatal(err)
		}
		collect(d)
	}
}

// BenchmarkRefuse measures a refusal, which is the common case in a flood.
func BenchmarkRefuse(b *testing.B) {
	o, cleanup := newOwner(&pimclock.Manual{})
	defer cleanup()
	late := slotRequest()
	late.Deadline = 0
	b.ReportAllocs()
	for b.Loop() {
		if _, err := o.Acquire(b.Context(), late); err == nil {
			b.Fatal("granted after the deadline")
		}
	}
}
