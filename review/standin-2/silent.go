//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// The times of the scenario.
const (
	// recoverFor is longer than stable_window_ms (4 s), settleFor than the time of any probe.
	recoverFor = 5 * time.Second
	settleFor  = 3 * time.Second
	// changeGap is the time between two changes of the configuration, the first of which the reader still reads; it is killed after
	// killAfter and starts again after downFor.
	changeGap = 330 * time.Millisecond
	killAfter = 290 * time.Millisecond
	downFor   = 3500 * time.Millisecond
	// maxRounds bounds how often the disruption is repeated.
	maxRounds = 5
)

// silentChannels lets all open channels to the store go silent, waits for longer than stable_window_ms, and kills the VM that reads the
// store between two configurations that drop one route each. The other VM must apply both in time.
func silentChannels(d *deployment, hasTrouble bool) int {
	if err := d.startSmall(2, 2+3*maxRounds); err != nil {
		d.record("could not run: %v", err)
		return couldntRun
	}
	// SILENCE=0 and KILL=0 leave out one of the two disruptions, for comparison.
	hasSilence := hasTrouble && os.Getenv("SILENCE") != "0"
	hasKill := hasTrouble && os.Getenv("KILL") != "0"
	p := &prober{d: d}
	time.Sleep(recoverFor)
	for range maxRounds {
		if !p.servesAll() {
			return couldntRun
		}
		if hasSilence {
			for _, v := range d.vms {
				d.record("%d open channels of %s to the store are silent from now on", v.proxy.silence(), v.name)
			}
		}
		time.Sleep(recoverFor)
		// The machines are in touch again: a change must be in force at both within the bound.
		p.probe(d.vms, d.dropRoute())
		p.wg.Wait()
		if !p.servesAll() {
			return couldntRun
		}
		before := counts(d.vms)
		time.Sleep(settleFor)
		reader := mostCalls(d.vms, before)
		p.probe(d.vms, d.dropRoute())
		time.Sleep(killAfter)
		if hasKill {
			d.kill(reader)
			p.exclude(reader)
		}
		time.Sleep(changeGap - killAfter)
		p.probe(d.vms, d.dropRoute())
		if hasKill {
			time.Sleep(downFor)
			if err := d.start(reader); err != nil {
				return couldntRun
			}
		}
		p.wg.Wait()
		if p.late > 0 {
			break
		}
		time.Sleep(settleFor)
		if !d.awaitReady(5 * time.Second) {
			return couldntRun
		}
		p.exclude(nil)
	}
	return p.result()
}

// startSmall publishes routes to four backend servers and starts some VMs.
func (d *deployment) startSmall(vms, routes int) error {
	for range 4 {
		if _, err := d.addServer(service); err != nil {
			return err
		}
	}
	for n := range routes {
		d.routes = append(d.routes, n)
	}
	d.configure()
	for i := range vms {
		if err := d.addVM(fmt.Sprintf("frontend-%s-%d", d.zone, i+1)); err != nil {
			return err
		}
	}
	if !d.awaitReady(20 * time.Second) {
		return fmt.Errorf("not all VMs are ready after 20 s")
	}
	return nil
}

// counts returns how many bytes each VM has sent to the store.
func counts(vms []*vm) map[*vm]int64 {
	all := map[*vm]int64{}
	for _, v := range vms {
		all[v] = v.proxy.bytesUp.Load()
	}
	return all
}

// mostCalls returns the VM that has sent most to the store since some earlier counts.
func mostCalls(vms []*vm, before map[*vm]int64) *vm {
	return slices.MaxFunc(vms, func(a, b *vm) int {
		return int((a.proxy.bytesUp.Load() - before[a]) - (b.proxy.bytesUp.Load() - before[b]))
	})
}
