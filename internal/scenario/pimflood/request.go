package pimflood

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// request is one request of a caller with its retries.
type request struct {
	contract pimid.ContractID
	phase    int
	created  pimclock.Instant
	// arrived is the instant at which the current attempt reached its entry VM.
	arrived  pimclock.Instant
	deadline pimclock.Instant
	duration time.Duration
	entry    *node
	tried    []pimid.NodeID
	retries  int
}

// arrive handles an attempt at a random VM, since the fabric may deliver a packet to any VM.
func (f *fleet) arrive(r *request) {
	r.entry = f.nodes[f.Rand.IntN(len(f.nodes))]
	r.arrived = f.Now()
	f.stats.attempt(f.Now())
	r.deadline = f.Now().Add(timeout)
	r.tried = nil
	if ok, retryAfter := r.entry.backOff.Allows(f.Now(), r.contract); !ok {
		f.handleRefusal(r, retryAfter)
		return
	}
	f.acquire(r)
}

// acquire requests a slot from an owner that was not tried yet, chosen from the owners as the entry VM's data centre
// sees them.
func (f *fleet) acquire(r *request) {
	e := r.entry
	id, err := e.owners.Pick(f.Now(), r.contract, f.candidates[e.dataCentre], r.tried, f.Rand)
	if err != nil {
		f.handleRefusal(r, timeout)
		return
	}
	owner := f.nodes[id-1]
	r.tried = append(r.tried, id)
	f.After(delay(e, owner), func() { f.offer(r, owner) })
}

// offer queues the request at the owner, which sends its decision back to the entry VM.
func (f *fleet) offer(r *request, owner *node) {
	owner.lastOffer++
	owner.waiting[owner.lastOffer] = func(d pimslot.Decision) {
		f.After(delay(r.entry, owner), func() { f.handleDecision(r, owner, d) })
	}
	req := pimslot.SlotRequest{Service: service, Contract: r.contract, Deadline: r.deadline}
	f.deliver(owner, owner.sched.Offer(f.Now(), owner.lastOffer, req))
}

// handleDecision handles the owner's decision at the entry VM. After a refusal, the VM tries one other owner.
func (f *fleet) handleDecision(r *request, owner *node, d pimslot.Decision) {
	e := r.entry
	if d.Refusal == nil {
		e.owners.Observe(f.Now(), owner.id, r.contract, d.Grant.Wait)
		f.After(delay(e, owner), func() { f.run(r, owner, d.Grant) })
		return
	}
	e.owners.Observe(f.Now(), owner.id, r.contract, d.Refusal.Wait)
	e.owners.Done(owner.id, r.contract)
	if len(r.tried) < 2 && f.Now().Before(r.deadline) {
		f.acquire(r)
		return
	}
	e.backOff.Refused(f.Now(), r.contract, d.Refusal.Wait, timeout)
	f.handleRefusal(r, d.Refusal.RetryAfter)
}

// run runs the request on the backend server of the grant.
func (f *fleet) run(r *request, owner *node, g pimslot.Grant) {
	b := f.backends[g.Backend]
	if b.running >= slotsPerHost {
		f.stats.sheds++
		f.finish(r, owner, g, pimslot.Result{Outcome: pimedge.OutcomeNotRun, Shed: true})
		return
	}
	b.running++
	f.stats.started(r, f.Now())
	f.After(r.duration, func() {
		b.running--
		f.finish(r, owner, g, pimslot.Result{Outcome: pimedge.OutcomeAnswered, Duration: r.duration + 2*delay(r.entry, owner)})
	})
}

// finish sends the result to the entry VM, which then releases the slot at the owner.
func (f *fleet) finish(r *request, owner *node, g pimslot.Grant, result pimslot.Result) {
	d := delay(r.entry, owner)
	f.After(d, func() {
		r.entry.owners.Done(owner.id, r.contract)
		if result.Shed {
			f.handleRefusal(r, timeout)
		} else {
			f.stats.answered(r, f.Now())
		}
		d := delay(r.entry, owner)
		f.After(d, func() {
			decisions, err := owner.sched.Release(f.Now(), g.ID, result)
			if err == nil {
				f.deliver(owner, decisions)
			}
		})
	})
}

// handleRefusal sends the refusal to the caller, which retries after the advised time up to maxRetries times.
func (f *fleet) handleRefusal(r *request, retryAfter time.Duration) {
	f.stats.refused(r, f.Now())
	if r.retries == maxRetries {
		return
	}
	r.retries++
	f.After(callerDelay+f.Jitter(retryAfter, 0.5)+callerDelay, func() { f.arrive(r) })
}
