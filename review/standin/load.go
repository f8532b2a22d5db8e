//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// load keeps long flows open and counts what their callers see.
type load struct {
	d    *deployment
	stop chan struct{}
	// each is how long a flow is used; it is well below flow_max_s.
	each                           time.Duration
	wg                             sync.WaitGroup
	opened, sent, answered, failed atomic.Int64
	// resets counts open flows that were reset, but not by a backend server.
	resets atomic.Int64
	// foreign counts answers of another service.
	foreign atomic.Int64
}

// The behaviour of a long flow.
const (
	pause       = 100 * time.Millisecond
	answerLimit = 1500 * time.Millisecond
)

// startShortFlows starts callers that open a flow for each request to a service.
func (d *deployment) startShortFlows(callers int, service string) (*load, error) {
	l := &load{d: d, stop: make(chan struct{})}
	for n := 1; n <= callers; n++ {
		c, err := d.NewCaller(n)
		if err != nil {
			return nil, err
		}
		l.wg.Go(func() { l.loopShort(c, n, service) })
	}
	return l, nil
}

func (l *load) loopShort(c *platformtest.Caller, n int, service string) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		l.sent.Add(1)
		f, err := c.Open(addresses[service])
		if err != nil {
			l.failed.Add(1)
			continue
		}
		l.opened.Add(1)
		l.request(f, n, i, service)
		f.Close()
	}
}

// startLongFlows starts callers with one long flow each to a service.
func (d *deployment) startLongFlows(callers int, service string) (*load, error) {
	return d.startFlows(callers, service, 30*time.Second)
}

// startFreshFlows starts callers that open a new flow to a service every two seconds, and use it meanwhile.
func (d *deployment) startFreshFlows(callers int, service string) (*load, error) {
	return d.startFlows(callers, service, 2*time.Second)
}

// startFlows starts callers that use one flow after the other, each for some time.
func (d *deployment) startFlows(callers int, service string, each time.Duration) (*load, error) {
	l := &load{d: d, stop: make(chan struct{}), each: each}
	for n := 1; n <= callers; n++ {
		c, err := d.NewCaller(n)
		if err != nil {
			return nil, err
		}
		l.wg.Go(func() { l.loop(c, n, service) })
	}
	return l, nil
}

func (l *load) loop(c *platformtest.Caller, n int, service string) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		f, err := c.Open(addresses[service])
		if err != nil {
			l.failed.Add(1)
			time.Sleep(pause)
			continue
		}
		l.opened.Add(1)
		l.use(f, n, service)
	}
}

// use sends requests on one flow until it ends.
func (l *load) use(f *platformtest.CallerFlow, n int, service string) {
	defer f.Close()
	for i, end := 0, time.Now().Add(l.each); time.Now().Before(end); i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		l.sent.Add(1)
		if !l.request(f, n, i, service) {
			return
		}
	}
}

// request sends one request on an open flow and reports whether it was answered.
func (l *load) request(f *platformtest.CallerFlow, n, i int, service string) bool {
	answer, err := f.Request(fmt.Appendf(nil, "caller %d request %d", n, i), answerLimit)
	switch {
	case errors.Is(err, platformtest.ErrReset) && f.ResetBySystem:
		l.resets.Add(1)
		l.d.rec.printf("caller %d: open flow reset, not by a backend server, at request %d", n, i)
	case err != nil:
		l.failed.Add(1)
		l.d.rec.printf("caller %d: request %d: %v", n, i, err)
	default:
		l.answered.Add(1)
		if !bytes.HasPrefix(answer, []byte(service)) {
			l.foreign.Add(1)
		}
	}
	return err == nil
}

// end stops the callers and records the counts.
func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
	l.d.rec.printf("flows opened %d, requests sent %d, answered %d, failed %d; open flows reset by the system %d, foreign answers %d",
		l.opened.Load(), l.sent.Load(), l.answered.Load(), l.failed.Load(), l.resets.Load(), l.foreign.Load())
}
