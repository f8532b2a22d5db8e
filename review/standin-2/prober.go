//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The bound of the deployment and the times of the probes.
const (
	configApply = 3 * time.Second
	// probeMargin keeps the probes clear of the bound.
	probeMargin = 10 * time.Millisecond
	probeFor    = 1500 * time.Millisecond
	probeGap    = 20 * time.Millisecond
)

// prober sends requests to dropped routes, directly to each VM.
type prober struct {
	d  *deployment
	wg sync.WaitGroup

	mu       sync.Mutex
	excluded *vm
	number   int
	// sent counts the requests after the bound, late those of them that ran.
	sent, late int
}

// exclude stops the requests to a VM that is not in touch.
func (p *prober) exclude(v *vm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded = v
}

// probe sends requests for a dropped route to some VMs once the bound is over.
func (p *prober) probe(vms []*vm, dropped droppedRoute) {
	for _, v := range vms {
		p.wg.Go(func() {
			from := dropped.acked.Add(configApply + probeMargin)
			time.Sleep(time.Until(from))
			for time.Since(from) < probeFor {
				p.wg.Go(func() { p.send(v, dropped) })
				time.Sleep(probeGap)
			}
		})
	}
}

// next returns the id of the next request; ok is false if the VM is excluded.
func (p *prober) next(kind string, v *vm) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	return fmt.Sprintf("%s-%d", kind, p.number), v != p.excluded
}

func (p *prober) send(v *vm, dropped droppedRoute) {
	id, ok := p.next("probe", v)
	if !ok {
		return
	}
	after := time.Since(dropped.acked)
	outcome := p.d.requester.request(p.d.packetAddress(v), route(dropped.number), id)
	ran, ok := p.d.ranAt(id)
	p.d.record("%s for dropped route r-%d, sent to %s %.3f s after the acknowledgement: %s", id, dropped.number, v.name, after.Seconds(), outcome)
	p.mu.Lock()
	p.sent++
	if ok {
		p.late++
	}
	p.mu.Unlock()
	if ok {
		p.d.record("BROKEN: %s ran at %s", id, ran.server.name())
	}
}

// servesAll reports whether each VM that is in touch serves a route that is published.
func (p *prober) servesAll() bool {
	for _, v := range p.d.vms {
		id, ok := p.next("check", v)
		if !ok {
			continue
		}
		outcome := p.d.requester.request(p.d.packetAddress(v), route(p.d.routes[len(p.d.routes)-1]), id)
		p.d.record("%s through %s: %s", id, v.name, outcome)
		if outcome != outcomeAnswer {
			return false
		}
	}
	return true
}

// result records the number of broken requests and returns the result of the scenario.
func (p *prober) result() int {
	p.d.record("%d requests were sent to VMs in touch more than %v after the acknowledgement of the version that drops their route; %d of them ran",
		p.sent, configApply, p.late)
	switch {
	case p.sent == 0 || !p.servesAll():
		return couldntRun
	case p.late > 0:
		return broken
	default:
		return held
	}
}
