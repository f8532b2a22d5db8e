package pimflow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// serveAll sends requests to a backend server with one slot, each with a new flow, the first ones alone and the others each gap, and closes
// a flow answer after its request. It returns the running requests that occupy the backend server, and those that count as running.
func serveAll(requests int, gap time.Duration, answer func(running int) time.Duration) (occupied, running float64) {
	table := New(DefaultSettings())
	host := &pimcatalog.Host{ID: 1, Service: "desk", DataCentre: "ikeja", Slots: 1}
	c := pimcatalog.NewCatalog(1, nil, []*pimcatalog.Host{host})
	type open struct {
		flow pimpacket.Flow
		at   pimclock.Instant
	}
	var flows []open
	const alone = 10
	now := pimclock.Instant(time.Hour)
	for i := range requests {
		now = now.Add(gap)
		if i < alone {
			now = now.Add(time.Second)
		}
		for len(flows) > 0 && !now.Before(flows[0].at) {
			expireUntil(table, flows[0].at)
			table.RecordForwarded(flows[0].at, &pimpacket.Packet{Flow: flows[0].flow, Flags: pimpacket.Ack | pimpacket.Close, Seq: 111, Acked: 500}, 1)
			flows = flows[1:]
		}
		expireUntil(table, now)
		f := pimpacket.Flow{
			Caller:      netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(i+1)),
			Destination: netip.MustParseAddrPort("198.18.0.1:443"),
		}
		table.RecordOpening(now, &pimpacket.Packet{Flow: f, Flags: pimpacket.Open, Seq: 10}, 1)
		table.Prune(now, c)
		table.RecordForwarded(now, &pimpacket.Packet{Flow: f, Flags: pimpacket.Ack, Seq: 11, Acked: 1, Data: 100}, 1)
		flows = append(flows, open{flow: f, at: now.Add(answer(len(flows) + 1))})
		load := table.Load(now, 1)
		occupied, running = load.UnderWay(), float64(load.Busy)
	}
	return occupied, running
}

// Guards against refusals for queues that do not exist: callers close their flows 300 ms after the answer, so requests count as running
// although the backend server is idle.
func TestFlowsThatStayOpenDoNotOccupy(t *testing.T) {
	is := is.New(t)
	const gap = 50 * time.Millisecond
	occupied, running := serveAll(400, gap, func(int) time.Duration { return 320 * time.Millisecond })
	t.Logf("%.1f of %.0f occupy the backend server", occupied, running)
	is.True(running >= 6)
	is.True(occupied < 3) // less urgent flows may fill three of the five places of a slot
}

// Guards against a queue that is taken for flows that stay open: the answers take as long as the requests before them.
func TestQueuedRequestsOccupy(t *testing.T) {
	is := is.New(t)
	occupied, running := serveAll(400, 25*time.Millisecond, func(n int) time.Duration { return time.Duration(n) * 30 * time.Millisecond })
	t.Logf("%.1f of %.0f occupy the backend server", occupied, running)
	is.True(running >= 3)
	is.Equal(occupied, running)
}

// expireUntil calls Expire as often as a VM does, which otherwise counts as paused.
func expireUntil(t *Table, now pimclock.Instant) {
	for at := t.lastExpire; at != 0 && at.Before(now); at = at.Add(100 * time.Millisecond) {
		t.Expire(at)
	}
	t.Expire(now)
}
