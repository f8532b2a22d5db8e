//go:build review

package main

import (
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The timing of a rollout.
const (
	// probeInterval and probeMisses are those of the platform's readiness check.
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
	// restartDelay is the short delay after which a process that has ended is started again.
	restartDelay = 100 * time.Millisecond
	// grace is grace_s, after which the platform kills a process that it has asked to stop.
	grace = 6 * time.Second
	// otherHostAfter is the time from the signal to a VM to the start of a backend server of the other service.
	otherHostAfter = 1500 * time.Millisecond
	// nextRollout is the time from the end of one rollout to the begin of the next one.
	nextRollout = 550 * time.Millisecond
)

// rollouts is the number of times that the VMs are stopped and started in turn.
const rollouts = 4

// rolledTwice is the case in which the VMs are stopped and started in turn, and at once again in the reverse order, while a
// backend server is replaced. All of it is planned work.
func rolledTwice(d *deployment) (breaches int, err error) {
	if _, _, err = d.startHosts(); err != nil {
		return 0, err
	}
	if err = d.startVMs(); err != nil {
		return 0, err
	}
	defer d.startFabric()()
	l, err := d.startFreshFlows(48, feed)
	if err != nil {
		return 0, err
	}
	time.Sleep(inTouchAfter)
	for range rollouts {
		if err = d.rollTwice(d.vms[d.lastCaller.Load()-1]); err != nil {
			return 0, err
		}
		time.Sleep(inTouchAfter)
	}
	l.end()
	return int(l.resets.Load()), nil
}

// rollTwice stops and starts a VM, the last of one rollout, and soon once more, as the first of the next one. Backend servers
// start meanwhile, as in a release. Without the disruption, only they start.
func (d *deployment) rollTwice(v *vm) error {
	d.rec.printf("VM %d has called the store last", v.n)
	if !d.trouble {
		return errors.Join(d.replaceHost(clips), d.replaceHost(feed))
	}
	// A VM that stops forwards packets for 1.6 s more.
	earlier := make(chan error, 1)
	time.AfterFunc(otherHostAfter, func() { earlier <- d.replaceHost(clips) })
	err := v.restart(func() error { return errors.Join(<-earlier, d.replaceHost(feed)) })
	if err != nil {
		return err
	}
	time.Sleep(nextRollout)
	return v.restart(func() error { return nil })
}

// replaceHost starts one more backend server of a service.
func (d *deployment) replaceHost(service string) error {
	hosts, err := d.addHosts(service, 1, serviceTime)
	if err == nil {
		d.rec.printf("%s of %s has started", hosts[0].Name(), service)
	}
	return err
}

// restart stops a VM as planned and starts it again. It calls meanwhile while the VM is down.
func (v *vm) restart(meanwhile func() error) error {
	v.d.rec.printf("VM %d: SIGTERM", v.n)
	_ = v.cmd.Process.Signal(syscall.SIGTERM) // an error means that it has ended
	select {
	case <-v.ended:
	case <-time.After(grace):
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
	v.d.rec.printf("VM %d: ended", v.n)
	if err := meanwhile(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	v.d.rec.printf("VM %d: started", v.n)
	return v.start()
}

// startFabric keeps the VMs in rotation that answer the readiness check. If fewer than half do, it uses all of them.
func (d *deployment) startFabric() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		misses := make([]int, len(d.vms))
		for {
			select {
			case <-done:
				return
			case <-time.After(probeInterval):
			}
			var in, all []netip.Addr
			for i, v := range d.vms {
				if misses[i]++; v.isReady() {
					misses[i] = 0
				}
				all = append(all, v.address)
				if misses[i] < probeMisses {
					in = append(in, v.address)
				}
			}
			if 2*len(in) < len(all) {
				in = all
			}
			d.SetVMs(in...)
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}
