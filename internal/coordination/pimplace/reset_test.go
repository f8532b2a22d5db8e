package pimplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimadmit"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// openingOf returns a copy of the opening packet of a flow.
func openingOf(attempt int) *pimpacket.Packet {
	return &pimpacket.Packet{Flags: pimpacket.Open, Attempt: attempt}
}

// Guards against the reset of a flow that is open: this VM has forwarded an earlier copy of its opening packet, whose answer is on the
// way, and the backend servers have ended or were evacuated since.
func TestForwardedCopiesAreNotFollowedByAReset(t *testing.T) {
	for _, priority := range []pimcatalog.Priority{1, 2} { // without and with admission
		is := is.New(t)
		a := newAdmitting(nil, deskHosts(2, 1, "ikeja")...)
		a.cfg.Routes[1].Priority = priority
		routes := pimcatalog.NewRouteTable(a.cfg)
		gone := pimcatalog.NewCatalog(2, routes, nil)
		evacuated := pimcatalog.NewCatalog(2, routes, a.catalog.Hosts(), "ikeja")
		for _, isForwarded := range []bool{false, true} {
			if isForwarded {
				a.observer.(*fakeObserver).table.RecordOpening(0, openingOf(0), 1)
			}
			a.catalog = gone
			is.Equal(a.place(0, 2), pimsteer.Placement{Reason: pimsteer.ReasonNoHost, Later: isForwarded, Rule: a.place(0, 2).Rule})
			a.catalog = evacuated
			is.Equal(a.place(0, 2), pimsteer.Placement{Reason: pimsteer.ReasonEvacuated, Later: isForwarded, Rule: a.place(0, 2).Rule})
		}
	}
}

// Guards against the reset of a flow that is open: after a change of the VMs that the fabric uses, another VM has forwarded an earlier
// copy of its opening packet, and this one has come too late.
func TestExpiredCopyIsNotResetIfAnEarlierOneMayBeForwarded(t *testing.T) {
	is := is.New(t)
	a := newAdmitting(nil, deskHosts(2, 1, "ikeja")...)
	a.cfg.Routes[0].Timeout = 150 * time.Millisecond
	p := a.place(0, 1)
	is.Equal(p.Rule, pimadmit.Expired.String())
	is.True(p.Host == nil && p.Later)
}

// Guards against the reset of an open flow whose copies reached several VMs, or whose caller uses a port again: a note that this VM has
// forwarded no copy holds only if it has seen all of them.
func TestDeferredFlowsHaveAllCopiesHere(t *testing.T) {
	is := is.New(t)
	d := deferredFlows{at: map[pimpacket.Flow]deferral{}}
	d.add(0, openingOf(0))
	is.True(!d.mayBeOpen(0, openingOf(0)))
	is.True(!d.mayBeOpen(0, openingOf(1)))
	is.True(d.mayBeOpen(0, openingOf(2))) // the copy between reached another VM
	d.add(0, openingOf(1))
	is.True(!d.mayBeOpen(0, openingOf(2)))
	is.True(d.mayBeOpen(pimclock.Instant(deferredFor), openingOf(2))) // another flow of the same port
	d.remove(openingOf(0).Flow)
	d.add(0, openingOf(1)) // the first copy was seen by another VM
	is.True(d.mayBeOpen(0, openingOf(2)))
}
