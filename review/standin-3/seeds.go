//go:build review

package main

import (
	"slices"
	"syscall"
	"time"
)

// The slow start of the backend servers, as in the example of the users' wire, and the limit that follows: 0 x 1.5 + 5 a second.
const (
	warmup     = 2 * time.Second
	warmupRate = 0.0
	coldLimit  = 5
)

// seeds adds a VM to a fleet of seven. With trouble, the three VMs that its settings name as seeds leave as planned just before, and stay
// away. More than 65 s later the only backend server of a service is replaced.
func seeds(d *deployment, hasTrouble bool) (isBroken bool, err error) {
	d.slowStart, d.warmupS, d.warmupPerS = true, warmup.Seconds(), warmupRate
	old, err := d.startHost(0x82409ad1, 1, cliphall, 1, 5*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	d.configure()
	var named []*vm
	for zone := byte(1); zone <= 3; zone++ {
		named = append(named, d.addVM(zone, 1))
	}
	fleet := append(slices.Clone(named), d.addVM(1, 2), d.addVM(1, 3), d.addVM(2, 2), d.addVM(3, 2))
	for _, v := range fleet {
		if err = d.startWithSeeds(v, named); err != nil {
			return false, err
		}
	}
	if err = d.awaitReady(len(fleet), 8*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if hasTrouble {
		for _, v := range named {
			go v.end(syscall.SIGTERM)
			time.Sleep(500 * time.Millisecond)
		}
	}
	// The last one of them has ended 1.6 s after its signal. The settings of the new VM are 3 s old then (seed_lag_s).
	time.Sleep(1500 * time.Millisecond)
	added := d.addVM(1, 4)
	if err = d.startWithSeeds(added, named); err != nil {
		return false, err
	}
	time.Sleep(78 * time.Second)
	var r results
	stop, done := make(chan struct{}), make(chan struct{})
	c, err := d.newCaller()
	if err != nil {
		return false, err
	}
	// The callers are in the zone of the backend server.
	d.fabric.use(func(v *vm) bool { return v.zone == zoneName(1) })
	go func() {
		d.load(c, cliphall, 25, stop, &r)
		close(done)
	}()
	time.Sleep(2 * time.Second)
	replacement, err := d.startHost(0x83429dd6, 2, cliphall, 1, 5*time.Millisecond, warmup)
	if err != nil {
		return false, err
	}
	time.Sleep(50 * time.Millisecond)
	old.drain()
	time.Sleep(5 * time.Second)
	close(stop)
	<-done
	most := replacement.mostOpenings(warmup)
	d.rec.say("while cold, the backend server took at most %d opening packets in a second, allowed are %d; requests: %s", most, coldLimit, &r)
	return most > coldLimit, nil
}

func (d *deployment) startWithSeeds(v *vm, seeds []*vm) error {
	for _, s := range seeds {
		v.seeds = append(v.seeds, s.ip)
	}
	return v.start()
}

// drain lets the backend server report that it leaves.
func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.write()
}

// mostOpenings returns the largest number of opening packets that arrived within a second, in the first d of the run.
func (h *host) mostOpenings(d time.Duration) (most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := slices.DeleteFunc(slices.Clone(h.opening), func(o opening) bool { return o.at.Sub(h.born) > d })
	for i := range taken {
		n := 0
		for _, o := range taken[i:] {
			if o.at.Sub(taken[i].at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// use limits the fabric to some of the VMs: those of the zone of the callers.
func (f *fabric) use(isUsed func(*vm) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.DeleteFunc(f.vms, func(v *vm) bool { return !isUsed(v) })
}
