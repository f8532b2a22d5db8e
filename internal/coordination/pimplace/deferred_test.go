package pimplace

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against a reset for a later copy of an opening packet whose earlier copy was forwarded: it could reach the caller after the answer
// and break the open flow. A flow of which no copy was forwarded may be reset.
func TestLaterCopyIsRefusedOnlyAfterADeferral(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(1, 1, "ikeja")...)
	a.cfg.Routes[0].Target = 300 * time.Millisecond
	a.set(1, 30, 30, 0)
	is.Equal(a.place(0, 1).Rule, pimadmit.LaterCopy.String()) // another VM may have forwarded the first copy
	p := a.place(0, 0)
	is.True(p.Host == nil && p.Later)
	is.Equal(p.Reason, pimsteer.ReasonNoRoom)
	p = a.place(0, 1)
	is.True(p.Host == nil && !p.Later)
}

// Guards against memory that grows with the flows that were left to a later copy.
func TestDeferredFlowsAreForgotten(t *testing.T) {
	is := is.New(t)
	d := deferredFlows{at: map[pimpacket.Flow]deferral{}}
	copyOf := func(port, attempt int) *pimpacket.Packet {
		flow := pimpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))}
		return &pimpacket.Packet{Flow: flow, Attempt: attempt}
	}
	now := pimclock.Instant(time.Hour)
	for i := range 2 * maxDeferred {
		d.add(now, copyOf(i, 0))
	}
	is.Equal(len(d.at), maxDeferred)
	is.True(!d.mayBeOpen(now, copyOf(0, 1)))
	d.remove(copyOf(0, 0).Flow)
	is.True(d.mayBeOpen(now, copyOf(0, 1)))
	d.add(now.Add(deferredFor), copyOf(1, 0))
	is.Equal(len(d.at), 1)
}

// Guards against less urgent flows in the places of urgent ones while the view is not fresh: refused packets are then dropped instead of
// answered with a reset, and their next copies were placed regardless of the limits.
func TestRefusedFlowsStayRefusedWithAnOldView(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(1, 1, "ikeja")...)
	a.place(0, 0)
	a.place(1, 0)
	a.set(1, 6, 6, 0)
	for attempt := range 3 {
		p := a.place(1, attempt)
		is.Equal(p.Rule, pimadmit.NoRoom.String())
		is.True(!p.Later)
	}
}
