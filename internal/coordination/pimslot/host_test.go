package pimslot

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func hostsOf(n int, change func(h *Host)) (hosts []Host) {
	for i := range n {
		h := Host{ID: pimid.BackendID(i + 1), Generation: 1, Service: 1, Slots: 2}
		if change != nil {
			change(&h)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func coreWith(hosts []Host) *Core {
	c := NewCore(DefaultConfig())
	c.SetHosts(0, hosts)
	c.SetPolicy(0, Policy{Service: 1, Contracts: []ContractTerms{terms(1, 0, 0, 100, 1, 1)}})
	return c
}

// fill offers requests until one is not granted, withdraws that one and returns the grants.
func fill(c *Core, now pimclock.Instant, id OfferID) (grants []Grant) {
	for {
		id++
		d := c.Offer(now, id, SlotRequest{Service: 1, Contract: 1, Deadline: now.Add(time.Second)})
		if len(d) == 0 || d[0].Refusal != nil {
			c.Cancel(id)
			return grants
		}
		grants = append(grants, d[0].Grant)
	}
}

// TestUsableSlots guards against work for draining or cold hosts beyond their usable slots, and against overload after a
// change of the owner.
func TestUsableSlots(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *Host)
		at     time.Duration
		want   int
	}{
		{"live", nil, 0, 6},
		{"one draining", func(h *Host) { h.Draining = h.ID == 1 }, 0, 4},
		{"cold at the start", func(h *Host) { h.Cold = true }, 0, 3},
		{"cold after the slow start", func(h *Host) { h.Cold = true }, 10 * time.Second, 6},
		{"slots of the previous owner", func(h *Host) { h.InFlight = 1 }, 0, 3},
		{"slots of the previous owner expired", func(h *Host) { h.InFlight = 1 }, 5 * time.Second, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := coreWith(hostsOf(3, c.change))
			now := pimclock.Instant(c.at)
			core.Tick(now)
			is.Equal(len(fill(core, now, 0)), c.want) // grants
		})
	}
}

// TestRemovedHost guards against grants on a host that this VM no longer owns, and against counting its slots.
func TestRemovedHost(t *testing.T) {
	is := is.New(t)
	core := coreWith(hostsOf(2, nil))
	grants := fill(core, 0, 0)
	core.SetHosts(0, hostsOf(1, nil))
	for _, g := range grants {
		_, err := core.Release(0, g.ID, Result{Outcome: pimedge.OutcomeAnswered, Duration: time.Millisecond})
		is.NoErr(err)
	}
	for _, g := range fill(core, 0, 10) {
		is.Equal(g.Backend, pimid.BackendID(1)) // only the host that is still owned
	}
	is.Equal(len(core.hosts), 1) // the removed host is deleted
}

// TestGrantExpires guards against slots that stay occupied when the VM that holds the grant has failed.
func TestGrantExpires(t *testing.T) {
	is := is.New(t)
	core := coreWith(hostsOf(1, nil))
	grants := fill(core, 0, 0)
	is.Equal(grants[0].ExpiresAt, pimclock.Instant(2*time.Second)) // deadline plus one second
	core.Tick(grants[0].ExpiresAt - 1)
	is.Equal(len(fill(core, grants[0].ExpiresAt-1, 10)), 0) // still occupied
	core.Tick(grants[0].ExpiresAt)
	is.Equal(len(fill(core, grants[0].ExpiresAt, 20)), 2) // free again
	_, err := core.Release(grants[0].ExpiresAt, grants[0].ID, Result{})
	is.Equal(err, ErrUnknownGrant) // a late release must not free another request's slot
}

// TestEjection guards against work for failing hosts, against the ejection of more than half of the hosts, and against an
// ejection time that does not grow.
func TestEjection(t *testing.T) {
	is := is.New(t)
	core := coreWith(hostsOf(4, nil))
	now := pimclock.Instant(0)
	id := OfferID(0)
	for range 200 {
		id += 20
		for _, g := range fill(core, now, id) {
			outcome := pimedge.OutcomeAnswered
			if g.Backend <= 3 {
				outcome = pimedge.OutcomeFailed
			}
			_, err := core.Release(now, g.ID, Result{Outcome: outcome, Duration: time.Millisecond})
			is.NoErr(err)
		}
		is.True(len(core.Ejected(now)) <= 2) // at most half of the hosts
	}
	ejected := core.Ejected(now)
	is.Equal(len(ejected), 2) // two of three failing hosts
	first := core.hosts[ejected[0]].health.ejectedUntil
	now = first
	for range 40 {
		id += 20
		for _, g := range fill(core, now, id) {
			_, _ = core.Release(now, g.ID, Result{Outcome: pimedge.OutcomeFailed, Duration: time.Millisecond})
		}
	}
	is.Equal(core.hosts[ejected[0]].health.ejectedUntil.Sub(now), 2*time.Second) // the second ejection is twice as long
}

// TestShed guards against new work for a host that has just answered 503.
func TestShed(t *testing.T) {
	is := is.New(t)
	core := coreWith(hostsOf(1, nil))
	grants := fill(core, 0, 0)
	for _, g := range grants {
		_, err := core.Release(0, g.ID, Result{Outcome: pimedge.OutcomeNotRun, Shed: true, ShedFor: time.Second})
		is.NoErr(err)
	}
	core.ReportLoad(0, 1, 0)
	is.Equal(len(fill(core, 0, 10)), 0) // a load report without running requests does not cancel the 503
	now := pimclock.Instant(time.Second)
	core.Tick(now)
	is.Equal(len(fill(core, now, 20)), 2) // free after the Retry-After time
}
