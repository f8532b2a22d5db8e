package pimslot

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Owner is a Core for concurrent use whose Acquire blocks until a decision.
type Owner struct {
	clock   pimclock.Clock
	mu      sync.Mutex
	core    *Core
	waiters map[OfferID]chan Decision
	last    OfferID
	closed  bool
}

// NewOwner returns an owner without hosts; the cleanup function fails all waiting and later requests with ErrClosed.
func NewOwner(cfg Config, clock pimclock.Clock) (o *Owner, cleanup func()) {
	o = &Owner{clock: clock, core: NewCore(cfg), waiters: map[OfferID]chan Decision{}}
	return o, o.close
}

// Acquire waits for a slot; the error is a *RefusalError, ErrClosed or the error of ctx.
func (o *Owner) Acquire(ctx context.Context, r SlotRequest) (g Grant, err error) {
	defer func() { err = annotate(err) }()
	id, ch, err := o.offer(r)
	if err != nil {
		return Grant{}, err
	}
	select {
	case d, ok := <-ch:
		return grantOrError(d, ok)
	case <-ctx.Done():
		return o.abandon(ctx, id, ch)
	}
}

// annotate wraps errors other than refusals. A refusal is an answer to the caller, and in a flood of requests recording
// the stack would take most of the time of a refusal.
func annotate(err error) error {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return oops.In("pimslot").Wrapf(err, "acquire slot")
}

func (o *Owner) offer(r SlotRequest) (OfferID, chan Decision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, nil, ErrClosed
	}
	o.last++
	ch := make(chan Decision, 1)
	o.waiters[o.last] = ch
	o.deliver(o.core.Offer(o.clock.Now(), o.last, r))
	return o.last, ch, nil
}

// abandon withdraws a request whose ctx has ended; if it has been granted meanwhile, the grant is released.
func (o *Owner) abandon(ctx context.Context, id OfferID, ch chan Decision) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case d, ok := <-ch:
		if ok && d.Refusal == nil {
			decisions, _ := o.core.Release(o.clock.Now(), d.Grant.ID, Result{})
			o.deliver(decisions)
		}
	default:
		o.core.Cancel(id)
		delete(o.waiters, id)
	}
	return Grant{}, context.Cause(ctx)
}

// grantOrError converts a decision into the results of Acquire; ok is false if the owner was closed.
func grantOrError(d Decision, ok bool) (Grant, error) {
	switch {
	case !ok:
		return Grant{}, ErrClosed
	case d.Refusal != nil:
		return Grant{}, d.Refusal
	default:
		return d.Grant, nil
	}
}

// deliver sends each decision to its waiter; the lock is held.
func (o *Owner) deliver(decisions []Decision) {
	for _, d := range decisions {
		if ch := o.waiters[d.Offer]; ch != nil {
			delete(o.waiters, d.Offer)
			ch <- d
		}
	}
}

// Release ends a grant; it returns ErrUnknownGrant for a grant that has expired.
func (o *Owner) Release(id GrantID, r Result) (err error) {
	defer func() { err = oops.In("pimslot").Wrapf(err, "release slot") }()
	o.mu.Lock()
	defer o.mu.Unlock()
	decisions, err := o.core.Release(o.clock.Now(), id, r)
	o.deliver(decisions)
	return err
}

// Tick expires grants and waiting requests and grants the slots that time has made available; it is to be called every
// few milliseconds.
func (o *Owner) Tick() { o.do(func(now pimclock.Instant) []Decision { return o.core.Tick(now) }) }

// SetHosts replaces the set of owned hosts.
func (o *Owner) SetHosts(hosts []Host) {
	o.do(func(now pimclock.Instant) []Decision { return o.core.SetHosts(now, hosts) })
}

// SetPolicy replaces the active terms of all contracts of one service; waiting requests of contracts without terms are
// refused.
func (o *Owner) SetPolicy(p Policy) {
	o.do(func(now pimclock.Instant) []Decision { return o.core.SetPolicy(now, p) })
}

// ReportLoad records the number of running requests that a host reports.
func (o *Owner) ReportLoad(id pimid.BackendID, inFlight int) {
	o.do(func(now pimclock.Instant) []Decision { return o.core.ReportLoad(now, id, inFlight) })
}

func (o *Owner) do(f func(pimclock.Instant) []Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deliver(f(o.clock.Now()))
}

// Wait estimates how long a new request of the contract would wait, up to MaxRetryAfter.
func (o *Owner) Wait(service pimid.ServiceID, contract pimid.ContractID) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Wait(o.clock.Now(), service, contract)
}

// Ejected returns the owned hosts that are ejected now.
func (o *Owner) Ejected() []pimid.BackendID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Ejected(o.clock.Now())
}

// Load returns the waiting and running requests and the usable slots of a service.
func (o *Owner) Load(service pimid.ServiceID) Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Load(service)
}

func (o *Owner) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for id, ch := range o.waiters {
		delete(o.waiters, id)
		o.core.Cancel(id)
		close(ch)
	}
}
