//go:build review

package main

import (
	"fmt"
	"time"
)

// agents is the start of a deployment whose backend servers run already. With trouble, an agent of another writer beside each of them has
// an entry of its own in the store, of a service that no configuration names.
func agents(d *deployment, hasTrouble bool) (isBroken bool, err error) {
	for n, service := range []string{matchroom, matchroom, matchroom, cliphall, cliphall} {
		id := 0x7f3a91c2 + uint64(n)*0x01020305
		if _, err = d.startHost(id, byte(n+1), service, byte(1+n%3), 30*time.Millisecond, 0); err != nil {
			return false, err
		}
		if hasTrouble {
			go d.agent(id, byte(n+1), byte(1+n%3))
		}
	}
	time.Sleep(2 * time.Second)
	var all []*vm
	for zone := byte(1); zone <= 3; zone++ {
		all = append(all, d.addVM(zone, 1))
	}
	for _, v := range all {
		for _, s := range all {
			v.seeds = append(v.seeds, s.ip)
		}
		if err = v.start(); err != nil {
			return false, err
		}
	}
	start := time.Now()
	time.Sleep(4 * time.Second)
	d.configure()
	if err = d.awaitReady(len(all), 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(10*time.Second - time.Since(start))
	var r results
	stop := make(chan struct{})
	time.AfterFunc(15*time.Second, func() { close(stop) })
	done := make(chan struct{})
	for _, service := range []string{matchroom, cliphall} {
		c, err := d.newCaller()
		if err != nil {
			return false, err
		}
		go func() {
			d.load(c, service, 20, stop, &r)
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	d.rec.say("%s", &r)
	return r.served == 0, nil
}

// agent keeps the entry of an agent that runs beside a backend server.
func (d *deployment) agent(id uint64, n, zone byte) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		d.store.put(fmt.Sprintf("servers/host-%08x", id), map[string]any{
			"service": "host-agent", "address": fmt.Sprintf("%s:9100", d.address(4, n)), "zone": zoneName(zone), "version": "v3", "capacity": 1,
			"state": "ready", "warmup_left_ms": 0, "seq": seq, "born": born,
		})
		time.Sleep(heartbeat)
	}
}
