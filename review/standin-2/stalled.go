//go:build review

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// The times of the scenario, counted from a call of the reader that the store holds for 1.2 s.
const (
	stallAt  = 300 * time.Millisecond
	changeAt = 1250 * time.Millisecond
	cutAt    = 1500 * time.Millisecond
	resumeAt = 2150 * time.Millisecond
	// cutFor is the length of the cut between the reader and the store.
	cutFor = 5500 * time.Millisecond
	// calmFor is longer than stable_window_ms (4 s).
	calmFor = 6 * time.Second
	// stalledRounds bounds how often the disruption is repeated.
	stalledRounds = 5
)

// stalledReader stops the VM that reads the store for 1.85 s while the store answers it, and cuts it off from the store before it goes on.
// The operator drops a route in between, which the other VM must apply in time.
func stalledReader(d *deployment, hasTrouble bool) int {
	if err := d.startSmall(2, 2+stalledRounds); err != nil {
		d.record("could not run: %v", err)
		return couldntRun
	}
	// STALL=0 and CUT=0 leave out one of the two disruptions, for comparison.
	hasStall := hasTrouble && os.Getenv("STALL") != "0"
	hasCut := hasTrouble && os.Getenv("CUT") != "0"
	p := &prober{d: d}
	time.Sleep(calmFor)
	for range stalledRounds {
		if !p.servesAll() {
			return couldntRun
		}
		before := counts(d.vms)
		time.Sleep(3 * time.Second)
		reader := mostCalls(d.vms, before)
		called, err := d.awaitCall(reader)
		if err != nil {
			d.record("could not run: %v", err)
			return couldntRun
		}
		p.exclude(reader)
		time.Sleep(time.Until(called.Add(stallAt)))
		if hasStall {
			d.signal(reader, syscall.SIGSTOP)
		}
		time.Sleep(time.Until(called.Add(changeAt)))
		p.probe(d.vms, d.dropRoute())
		time.Sleep(time.Until(called.Add(cutAt)))
		if hasCut {
			d.record("%s is cut off from the store for %v", reader.name, cutFor)
			reader.proxy.cut(cutFor)
		}
		time.Sleep(time.Until(called.Add(resumeAt)))
		if hasStall {
			d.signal(reader, syscall.SIGCONT)
		}
		p.wg.Wait()
		if p.late > 0 {
			break
		}
		time.Sleep(time.Until(called.Add(cutAt + cutFor + calmFor)))
		p.exclude(nil)
	}
	return p.result()
}

// awaitCall waits for the next call of a VM to the store, and returns when it came.
func (d *deployment) awaitCall(v *vm) (time.Time, error) {
	select {
	case <-v.calls: // an earlier call
	default:
	}
	select {
	case at := <-v.calls:
		return at, nil
	case <-time.After(5 * time.Second):
		return time.Time{}, fmt.Errorf("%s does not call the store", v.name)
	}
}

func (d *deployment) signal(v *vm, s syscall.Signal) {
	d.record("%v to %s", s, v.name)
	_ = v.process.Process.Signal(s) // it may have ended
}
