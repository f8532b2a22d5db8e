package pimsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

const (
	requestTimeout    = 3 * time.Second
	longFlowInterval  = 50 * time.Millisecond
	shortFlowInterval = 20 * time.Millisecond
)

// runLongFlow sends requests one after the other on one flow, and opens a new flow when a request fails.
func (r *run) runLongFlow(ctx context.Context, caller *platformtest.Caller, n int) {
	service := services[n%len(services)]
	var flow *platformtest.CallerFlow
	for i := 0; ctx.Err() == nil; i++ {
		if flow == nil {
			opened, err := caller.Open(fixedRoutes[service])
			r.count("open", err)
			if err != nil {
				pimclock.Sleep(ctx, longFlowInterval) // a reset of an opening packet comes at once
				continue
			}
			flow = opened
		}
		text := fmt.Sprintf("kept-%d-%d", n, i)
		began := time.Now()
		if err := r.request(flow, service, text); err != nil {
			r.checkReset(flow, began, err)
			flow.Close()
			flow = nil
		}
		pimclock.Sleep(ctx, longFlowInterval)
	}
}

// checkReset records a violation if a VM, and not the backend server, reset the flow of a request that began more than
// calmAfter after the last start or end of a fault: without a fault, VMs must not break flows. Planned work excuses no reset.
func (r *run) checkReset(flow *platformtest.CallerFlow, began time.Time, err error) {
	if !errors.Is(err, platformtest.ErrReset) || !flow.ResetBySystem {
		return
	}
	r.mu.Lock()
	calm := began.Sub(r.lastFault) > calmAfter
	r.report.ResetsBySystem++
	r.mu.Unlock()
	isOpen := func(h *platformtest.Host) bool { return h.Has(flow) }
	if r.cfg.Planned && slices.ContainsFunc(r.env.Hosts(), isOpen) {
		r.addViolation("reset_in_planned_work", "a long flow was reset whose backend server lives")
	}
	if calm {
		r.addViolation("reset_in_calm", "a long flow was reset %v after the last fault", began.Sub(r.lastFault).Round(time.Millisecond))
	}
}

// runShortFlows opens a flow to a random route for each request. Configuration changes add and remove some of the
// routes.
func (r *run) runShortFlows(ctx context.Context, caller *platformtest.Caller, n int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+n)))
	for ctx.Err() == nil {
		address, service := r.randomRoute(rng)
		r.tryShortFlow(caller, address, service)
		pimclock.Sleep(ctx, shortFlowInterval)
	}
}

func (r *run) randomRoute(rng *rand.Rand) (address netip.AddrPort, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := rng.IntN(len(r.routes))
	for address, service = range r.routes {
		if n--; n < 0 {
			break
		}
	}
	return address, service
}

// tryShortFlow sends one request on a new flow and reports whether it was answered.
func (r *run) tryShortFlow(caller *platformtest.Caller, address netip.AddrPort, service string) bool {
	flow, err := caller.Open(address)
	r.count("open", err)
	if err != nil {
		return false
	}
	defer flow.Close()
	return r.request(flow, service, "short-"+address.String()) == nil
}

// request sends a request and checks that the answer belongs to it and is from a backend server of the service. On a
// short flow, whose texts start with "short-", any service may answer: after a change of the route, the previous
// service may still serve it for a moment.
func (r *run) request(flow *platformtest.CallerFlow, service, text string) error {
	began := time.Now()
	answer, err := flow.Request([]byte(text), requestTimeout)
	r.count("request", err)
	if err != nil {
		r.recordFailure()
		return err
	}
	r.recordAnswer(time.Since(began))
	if string(answer) == service+" "+text {
		return nil
	}
	for _, other := range services {
		if string(answer) == other+" "+text && text[0] == 's' {
			return nil
		}
	}
	r.addViolation("wrong_answer", "request %q to service %s got the answer %q", text, service, answer)
	return nil
}
