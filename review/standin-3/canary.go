//go:build review

package main

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"
)

// trial is a service that takes a part of the new flows of a route for some time.
const trial = "trial-huvo11a"

// canary ends the trial of a service while flows are open there: the route stays, and its new flows go to the main service alone. With
// trouble, the VMs are stopped and started in turn after that, as planned.
func canary(d *deployment, hasTrouble bool) (isBroken bool, err error) {
	for n, service := range []string{matchroom, matchroom, trial, trial, cliphall, cliphall} {
		if _, err = d.startHost(0x7f3a91c2+uint64(n)*0x01020305, byte(n+1), service, byte(1+n%2), 30*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	d.backends = []map[string]any{{"service": matchroom, "weight": 50}, {"service": trial, "weight": 50}}
	d.configure()
	if err = d.startVMs(2, 1); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c, err := d.newCaller()
	if err != nil {
		return false, err
	}
	var flows []*longFlow
	for range 24 {
		f, err := c.open(d.route(matchroom))
		if err != nil {
			return false, err
		}
		flows = append(flows, &longFlow{callerFlow: f, service: matchroom})
	}
	var r results
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, f := range flows {
		wg.Go(func() { f.run(200*time.Millisecond, stop, &r) })
	}
	time.Sleep(3 * time.Second)
	d.backends = nil
	d.configure()
	time.Sleep(5 * time.Second)
	for _, v := range d.vms {
		if hasTrouble {
			v.end(syscall.SIGTERM)
			time.Sleep(500 * time.Millisecond)
			if err = v.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	wg.Wait()
	broken := slices.DeleteFunc(slices.Clone(flows), func(f *longFlow) bool { return !errors.Is(f.err, errOwnReset) })
	d.rec.say("%d of %d open flows reset by the system while their host lived; requests: %s", len(broken), len(flows), &r)
	return len(broken) > 0, nil
}
