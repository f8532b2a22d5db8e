//go:build review

package main

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The times of the scenario.
const (
	rounds = 3
	// calm is longer than stable_window_ms.
	calm = 6 * time.Second
	// dark is how long the killed VM is away.
	dark = 3500 * time.Millisecond
	// untilKill is the time from an answer of the store to the kill, in which the other VM hears of it.
	untilKill = 280 * time.Millisecond
	// queueFull is the time from that answer to the end of the full queue. The other VM calls 2.5 s after it, and the kernel repeats an
	// opening packet after a second.
	queueFull = 3 * time.Second
)

// openingPacket lets the reader of a data centre of two VMs be killed just before a configuration drops a route. With trouble, the opening packet
// of the first call of the other VM is dropped, since the store's queue of new channels is full.
func openingPacket(d *deployment, hasTrouble bool) (isBroken bool, err error) {
	for n := range byte(2) {
		if _, err = d.startHost(0x7f3a91c2+uint64(n)*0x01020305, n+1, matchroom, 3, 5*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	for n := range byte(rounds) {
		d.extra = append(d.extra, netip.AddrPortFrom(d.address(9, 10+n), 8443))
	}
	d.configure()
	reader, other := d.addVM(3, 1), d.addVM(3, 2)
	gates := map[*vm]*gate{}
	for i, v := range []*vm{reader, other} {
		if gates[v], err = d.addGate(v, byte(10+i)); err != nil {
			return false, err
		}
		if err = d.startWithSeeds(v, []*vm{reader}); err != nil {
			return false, err
		}
	}
	if err = d.awaitReady(2, 8*time.Second); err != nil {
		return false, err
	}
	c, err := d.newCaller()
	if err != nil {
		return false, err
	}
	for range rounds {
		time.Sleep(calm)
		late, err := d.dropRoute(c, reader, gates[other], hasTrouble)
		if err != nil {
			return false, err
		}
		d.rec.say("%d requests of a dropped route, sent later than %v after the ack, reached a host", late, d.configApply)
		if late > 0 {
			return true, nil
		}
		// A planned stop hands the reading over to the VM that was killed.
		other.end(syscall.SIGTERM)
		if err = other.start(); err != nil {
			return false, err
		}
	}
	return false, nil
}

var errReader = errors.New("another VM reads the store")

// dropRoute plays one round, and returns the number of requests that were sent too late and run.
func (d *deployment) dropRoute(c *caller, reader *vm, g *gate, hasTrouble bool) (late int, err error) {
	answered := d.store.watchUnchanged()
	select {
	case v := <-answered:
		if v != reader {
			return 0, errReader
		}
	case <-time.After(5 * time.Second):
		return 0, errReader
	}
	at := time.Now()
	time.Sleep(untilKill)
	if hasTrouble {
		d.rec.logf("the store's queue of new channels is full")
		g.shut()
	}
	reader.end(syscall.SIGKILL)
	dropped := d.extra[0]
	d.extra = d.extra[1:]
	d.configure()
	acked := time.Now()
	var wg sync.WaitGroup
	if hasTrouble {
		wg.Go(func() {
			time.Sleep(time.Until(at.Add(queueFull)))
			g.open()
			d.rec.logf("the store's queue of new channels has room")
		})
	}
	wg.Go(func() {
		time.Sleep(time.Until(acked.Add(dark)))
		err = reader.start()
	})
	var mu sync.Mutex
	last := time.Duration(0)
	for time.Since(acked) < 5*time.Second {
		sent := time.Since(acked)
		wg.Go(func() {
			id := fmt.Sprintf("dropped-%d", sent.Milliseconds())
			f, err := c.open(dropped)
			if err != nil {
				return
			}
			// The flow has opened at a host.
			if _, err = f.request(id, 1500*time.Millisecond); err != nil {
				return
			}
			f.close()
			mu.Lock()
			defer mu.Unlock()
			last = max(last, sent)
			if sent > d.configApply {
				late++
				d.rec.logf("request %s, sent %v after the ack, was run", id, sent)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	d.rec.say("the last request of the dropped route that was run was sent %v after the ack", last.Round(time.Millisecond))
	return late, errors.Join(err, d.awaitReady(2, 8*time.Second))
}

// watchUnchanged returns a channel that gets the VM of the next watch that ends without changes.
func (s *store) watchUnchanged() <-chan *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan *vm, 1)
	s.unchanged = append(s.unchanged, ch)
	return ch
}

// reportUnchanged tells that a watch ended without changes.
func (s *store) reportUnchanged(v *vm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ch := range s.unchanged {
		ch <- v
	}
	s.unchanged = slices.Delete(s.unchanged, 0, len(s.unchanged))
}
