//go:build review

package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// longFlow is a flow that a caller keeps open for many requests.
type longFlow struct {
	*callerFlow
	service string
	// err is the error that has ended it; nil while it is open.
	err error
	// at is when that was.
	at time.Time
}

// run makes a request every interval until the flow ends or stop is closed.
func (f *longFlow) run(interval time.Duration, stop <-chan struct{}, r *results) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			f.close()
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", f.src, n)
		_, err := f.request(id, 1500*time.Millisecond)
		f.c.rec.logf("request %s: %v", id, err)
		r.add(err)
		if err == nil {
			err = f.idle(interval)
		}
		if errors.Is(err, errOwnReset) || errors.Is(err, errHostReset) {
			f.err, f.at = err, time.Now()
			f.c.rec.logf("flow %s ends: %v", f.src, err)
			return
		}
	}
}

// overwritten lets another writer write an entry under the key of a living backend server while flows are open there.
func overwritten(d *deployment, hasTrouble bool) (isBroken bool, err error) {
	var hosts []*host
	for n, service := range []string{matchroom, matchroom, matchroom, matchroom, cliphall, cliphall} {
		h, err := d.startHost(0x7f3a91c2+uint64(n)*0x01020305, byte(n+1), service, byte(1+n%3), 30*time.Millisecond, 0)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	d.configure()
	if err = d.startVMs(3, 1); err != nil {
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
		wg.Go(func() { f.run(100*time.Millisecond, stop, &r) })
	}
	time.Sleep(5 * time.Second)
	victim := hosts[0]
	if hasTrouble {
		// The backend server writes its own entry again with its next heartbeat.
		d.store.put(victim.key(), map[string]any{
			"service": "host-agent", "address": fmt.Sprintf("%s:9100", victim.address.Addr()), "zone": victim.zone, "version": "v3",
			"capacity": 1, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	broken := slices.DeleteFunc(slices.Clone(flows), func(f *longFlow) bool { return !errors.Is(f.err, errOwnReset) })
	d.rec.say("%d of %d open flows reset by the system while their host lived; requests: %s", len(broken), len(flows), &r)
	return len(broken) > 0, nil
}

// startVMs starts VMs in zones, perZone in each, with the first VM of each zone as seeds, and waits until they are ready.
func (d *deployment) startVMs(zones, perZone byte) error {
	var all []*vm
	for zone := byte(1); zone <= zones; zone++ {
		for n := byte(1); n <= perZone; n++ {
			all = append(all, d.addVM(zone, n))
		}
	}
	for _, v := range all {
		for zone := byte(1); zone <= zones; zone++ {
			v.seeds = append(v.seeds, d.address(zone, 1))
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return d.awaitReady(len(all), 8*time.Second)
}
