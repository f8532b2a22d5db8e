package pimslot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const testDuration = 50 * time.Millisecond

// rig drives one Core with requests of known duration on a simulated clock.
type rig struct {
	core       *Core
	now        pimclock.Instant
	rnd        *rand.Rand
	last       OfferID
	contractOf map[OfferID]pimid.ContractID
	waiting    map[pimid.ContractID]int
	running    []running
	used       map[pimid.ContractID]time.Duration
	refused    []*RefusalError
	// random draws exponentially distributed durations with the mean testDuration; otherwise all are testDuration.
	random bool
}

type running struct {
	start, end pimclock.Instant
	grant      Grant
	contract   pimid.ContractID
}

func newRig(slots, total pimid.Slots, terms ...ContractTerms) *rig {
	r := &rig{
		core: NewCore(DefaultConfig()), rnd: rand.New(rand.NewPCG(1, 1)), contractOf: map[OfferID]pimid.ContractID{},
		waiting: map[pimid.ContractID]int{}, used: map[pimid.ContractID]time.Duration{},
	}
	r.core.SetHosts(0, []Host{{ID: 1, Generation: 1, Service: 1, Slots: slots}})
	r.core.SetPolicy(0, Policy{Service: 1, TotalSlots: total, Contracts: terms})
	return r
}

func terms(id pimid.ContractID, guaranteed, lend, borrow pimid.Slots, weight float64, priority int) ContractTerms {
	return ContractTerms{ID: id, Terms: pimcontract.Terms{
		GuaranteedSlots: guaranteed, LendLimit: lend, BorrowLimit: borrow, ShareWeight: weight, Priority: priority,
	}}
}

func (r *rig) offer(c pimid.ContractID, timeout time.Duration) {
	r.last++
	r.contractOf[r.last] = c
	r.waiting[c]++
	r.handle(r.core.Offer(r.now, r.last, SlotRequest{Service: 1, Contract: c, Deadline: r.now.Add(timeout)}))
}

func (r *rig) handle(decisions []Decision) {
	for _, d := range decisions {
		c := r.contractOf[d.Offer]
		r.waiting[c]--
		if d.Refusal != nil {
			r.refused = append(r.refused, d.Refusal)
			continue
		}
		length := testDuration
		if r.random {
			length = time.Duration(r.rnd.ExpFloat64() * float64(testDuration))
		}
		r.running = append(r.running, running{start: r.now, end: r.now.Add(length), grant: d.Grant, contract: c})
	}
}

// step advances by one millisecond and ends the requests that are due.
func (r *rig) step() {
	r.now = r.now.Add(time.Millisecond)
	left := r.running
	r.running = nil
	for _, u := range left {
		if r.now.Before(u.end) {
			r.running = append(r.running, u)
			continue
		}
		r.used[u.contract] += r.now.Sub(u.start)
		d, _ := r.core.Release(r.now, u.grant.ID, Result{Outcome: pimedge.OutcomeAnswered, Duration: r.now.Sub(u.start)})
		r.handle(d)
	}
	r.handle(r.core.Tick(r.now))
}

func (r *rig) runningOf(c pimid.ContractID) (n int) {
	for _, u := range r.running {
		if u.contract == c {
			n++
		}
	}
	return n
}

// TestFractionalShares guards against guarantees that are lost to rounding when an owner has few slots.
func TestFractionalShares(t *testing.T) {
	for _, slots := range []pimid.Slots{1, 2, 3, 4} {
		is := is.New(t)
		r := newRig(slots, 30, terms(1, 12, 12, 30, 1, 1), terms(2, 9, 9, 30, 1, 2), terms(3, 3, 3, 30, 1, 3))
		r.random = true
		const length = 100 * time.Second
		for r.now < pimclock.Instant(length) {
			for c := pimid.ContractID(1); c <= 3; c++ {
				for r.waiting[c] < 4 {
					r.offer(c, time.Hour)
				}
			}
			r.step()
		}
		for c, guaranteed := range map[pimid.ContractID]float64{1: 12, 2: 9, 3: 3} {
			fraction := r.used[c].Seconds() / (length.Seconds() * guaranteed / 30 * float64(slots))
			is.True(fraction > 0.99) // a backlogged contract gets its guarantee
		}
	}
}

// TestLentSlotsReturn guards against lent slots that their contract gets back only after more than one request duration.
func TestLentSlotsReturn(t *testing.T) {
	is := is.New(t)
	r := newRig(4, 4, terms(1, 0, 0, 4, 1, 1), terms(2, 3, 3, 4, 1, 9))
	for range 40 {
		r.offer(1, time.Second)
	}
	is.Equal(r.runningOf(1), 4) // idle guaranteed slots are lent to contract 1
	for range 20 {
		r.step()
	}
	for range 3 {
		r.offer(2, time.Second)
	}
	due := r.now.Add(testDuration)
	for r.now < due {
		r.step()
	}
	is.Equal(r.runningOf(2), 3) // all guaranteed slots are back after one request duration
}

// TestLimits guards against use beyond the lend and borrow limits.
func TestLimits(t *testing.T) {
	cases := []struct {
		name         string
		lend, borrow pimid.Slots
		want         int
	}{
		{"nothing lent", 0, 4, 1},
		{"one slot lent", 1, 4, 2},
		{"all lent", 3, 4, 4},
		{"borrowing limited", 3, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(4, 4, terms(1, 0, 0, c.borrow, 1, 1), terms(2, 3, c.lend, 4, 1, 9))
			for range 40 {
				r.offer(1, time.Minute)
			}
			for range 200 {
				is.Equal(r.runningOf(1), c.want) // slots of the borrower
				r.step()
			}
		})
	}
}

// TestPriorityAndWeight guards against an order of unowned slots other than priority first, then share weight.
func TestPriorityAndWeight(t *testing.T) {
	is := is.New(t)
	// The contract with the lowest priority offers its requests first, so that serving in the order of arrival fails the
	// test.
	r := newRig(4, 4, terms(1, 0, 0, 4, 9, 2), terms(2, 0, 0, 4, 3, 1), terms(3, 0, 0, 4, 1, 1))
	for r.now < pimclock.Instant(20*time.Second) {
		for c := pimid.ContractID(1); c <= 3; c++ {
			for r.waiting[c] < 6 {
				r.offer(c, time.Hour)
			}
		}
		r.step()
	}
	ratio := r.used[2].Seconds() / r.used[3].Seconds()
	is.True(ratio > 2.8 && ratio < 3.2)  // equal priority divides by weight
	is.True(r.used[1] <= 4*testDuration) // the lowest priority gets slots only before the first request of a higher one
}

// TestRefusalCarriesTheEstimatedWait guards against requests that are queued although they cannot start before their
// deadline.
func TestRefusalCarriesTheEstimatedWait(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 2, terms(1, 2, 2, 0, 1, 1))
	for range 20 {
		r.offer(1, 4*testDuration)
	}
	is.True(len(r.refused) > 0)                         // the queue is bounded by the deadline
	is.True(r.refused[0].RetryAfter >= 4*testDuration)  // the retry time is the estimated wait
	is.Equal(r.refused[0].Reason, pimedge.ReasonNoSlot) // refused for lack of a slot
	queued := len(r.refused)
	for range 400 {
		r.step()
	}
	is.Equal(len(r.refused), queued) // no queued request misses its deadline when durations are as estimated
}

// TestQueueLimits guards against queues without a limit and against floods of one contract after which other contracts
// cannot queue any request.
func TestQueueLimits(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 1, terms(1, 0, 0, 1, 1, 1), terms(2, 0, 0, 1, 1, 1), terms(3, 0, 0, 1, 1, 1))
	r.core.cfg.MaxQueue, r.core.cfg.MaxQueued, r.core.cfg.MinQueue = 20, 30, 2
	// Contract 1 reaches the limit of one contract, contract 2 the limit of all, and contract 3 may still queue MinQueue.
	for i, want := range []int{20, 10, 2} {
		c := pimid.ContractID(i + 1)
		for range 60 {
			r.offer(c, time.Hour)
		}
		is.Equal(r.waiting[c], want)
	}
	is.Equal(r.refused[0].Reason, pimedge.ReasonOverload)
}
