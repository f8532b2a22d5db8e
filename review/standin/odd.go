//go:build review

package main

import (
	"time"

	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

const (
	// drainLimit is drain_ms, inTouchAfter twice stable_window_ms of a small deployment.
	drainLimit   = 3 * time.Second
	inTouchAfter = 8 * time.Second
	serviceTime  = 5 * time.Millisecond
)

// oddOther is the case in which an entry of another writer lacks the fields born and seq, has the number of the id of a backend
// server as its key, and names another service than that backend server. VMs start while it lies in the store.
func oddOther(d *deployment) (breaches int, err error) {
	hosts, others, err := d.startHosts()
	if err != nil {
		return 0, err
	}
	if err = d.putOdd(numberOf(others[0]), others[0], map[string]any{"born": nil, "seq": nil, "service": feed}); err != nil {
		return 0, err
	}
	if err = d.startVMs(); err != nil {
		return 0, err
	}
	l, err := d.startShortFlows(12, feed)
	if err != nil {
		return 0, err
	}
	time.Sleep(inTouchAfter)
	l.end()
	for _, h := range append(hosts, others...) {
		d.rec.printf("%s of %s: %+v", h.Name(), h.Service(), h.Counts())
	}
	return int(l.foreign.Load()), nil
}

// oddCopy is the case in which an entry of another writer lacks the fields born and seq, but is else a copy of that of a backend
// server, and has the number of its id as the key. VMs start, and later the backend server leaves as planned.
func oddCopy(d *deployment) (breaches int, err error) {
	hosts, _, err := d.startHosts()
	if err != nil {
		return 0, err
	}
	leaving := hosts[0]
	if err = d.putOdd(numberOf(leaving), leaving, map[string]any{"born": nil, "seq": nil}); err != nil {
		return 0, err
	}
	if err = d.startVMs(); err != nil {
		return 0, err
	}
	l, err := d.startShortFlows(12, feed)
	if err != nil {
		return 0, err
	}
	time.Sleep(inTouchAfter)
	leaving.Drain()
	if err = d.publish(leaving, nil); err != nil {
		return 0, err
	}
	limit := time.Now().Add(drainLimit)
	d.rec.printf("the store has acknowledged that %s is draining", leaving.Name())
	time.Sleep(drainLimit + 5*time.Second)
	l.end()
	for _, h := range hosts {
		d.rec.printf("%s: %+v; flows opened later than drain_ms after the acknowledgement: %d", h.Name(), h.Counts(), d.taps[h].openedAfter(limit))
	}
	return d.taps[leaving].openedAfter(limit), nil
}

// oddService is the case in which another writer leaves one entry among those of the backend servers. It resembles the entry of
// one of them, but names a service that no configuration has.
func oddService(d *deployment) (breaches int, err error) {
	hosts, _, err := d.startHosts()
	if err != nil {
		return 0, err
	}
	if err = d.startVMs(); err != nil {
		return 0, err
	}
	l, err := d.startLongFlows(48, feed)
	if err != nil {
		return 0, err
	}
	time.Sleep(inTouchAfter)
	if err = d.putOdd("i-0000f001", hosts[0], map[string]any{"service": "notices"}); err != nil {
		return 0, err
	}
	time.Sleep(inTouchAfter)
	l.end()
	for _, h := range hosts {
		d.rec.printf("%s: %+v", h.Name(), h.Counts())
	}
	return int(l.resets.Load()), nil
}

// startHosts publishes the configuration and starts the backend servers of both services.
func (d *deployment) startHosts() (feeds, others []*platformtest.Host, err error) {
	if err = d.configure(); err != nil {
		return nil, nil, err
	}
	if feeds, err = d.addHosts(feed, 4, serviceTime); err != nil {
		return nil, nil, err
	}
	others, err = d.addHosts(clips, 2, serviceTime)
	return feeds, others, err
}

// putOdd leaves an odd entry, which is that of a backend server with some fields replaced or removed. It does nothing if the
// case runs without its disruption.
func (d *deployment) putOdd(name string, h *platformtest.Host, replace map[string]any) error {
	if !d.trouble {
		return nil
	}
	odd := d.entry(h, replace)
	if _, err := d.Store.PutJSON("servers/"+name, odd); err != nil {
		return err
	}
	d.rec.printf("another writer put servers/%s: %v", name, odd)
	return nil
}

// numberOf returns the id of a backend server without the text before the dash.
func numberOf(h *platformtest.Host) string { return h.Name()[len("i-"):] }
