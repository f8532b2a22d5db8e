package pimflow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against a burst of opening packets to one backend server before the first of their requests arrives, and against flows that
// count twice, or for ever because no request follows.
func TestOpeningFlowCountsAsRunning(t *testing.T) {
	is := is.New(t)
	const host = pimcatalog.HostID(1)
	const other = pimcatalog.HostID(2)
	start := pimclock.Instant(time.Hour)
	table := New(DefaultSettings())
	busy := func(at pimclock.Instant, id pimcatalog.HostID) int {
		table.Expire(at)
		load := table.Load(at, id)
		return int(load.UnderWay())
	}
	opened := newCaller(table, 1)
	opened.open(start, host, 0)
	is.Equal(busy(start, host), 1)
	// The request follows after a round trip and takes over the place; its time begins then.
	opened.send(start.Add(10*time.Millisecond), host, 100, pimpacket.Ack)
	is.Equal(busy(start.Add(505*time.Millisecond), host), 1)
	is.Equal(busy(start.Add(515*time.Millisecond), host), 0)

	// A copy of the opening packet at another backend server moves the place.
	moved := newCaller(table, 2)
	moved.open(start.Add(time.Second), host, 0)
	moved.open(start.Add(1200*time.Millisecond), other, 1)
	is.Equal(busy(start.Add(1200*time.Millisecond), host), 0)
	is.Equal(busy(start.Add(1200*time.Millisecond), other), 1)
	// No request follows.
	is.Equal(busy(start.Add(1800*time.Millisecond), other), 0)
	// A late request counts once more.
	moved.send(start.Add(1900*time.Millisecond), other, 100, pimpacket.Ack)
	is.Equal(busy(start.Add(1900*time.Millisecond), other), 1)
	moved.send(start.Add(1950*time.Millisecond), other, 0, pimpacket.Ack|pimpacket.Close)
	is.Equal(busy(start.Add(1950*time.Millisecond), other), 0)
}
