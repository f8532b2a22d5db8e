package pimramp

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimgossip"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

func settings(name string) Settings {
	return Settings{Name: name, DataCentre: "ikeja", Overage: 1.5, Slack: 5, Settle: DefaultSettle}
}

// group is a membership of VMs that have known each other for a minute, less the VM itself.
func group(self string, names ...string) pimgossip.Membership {
	m := pimgossip.Membership{RunningFor: time.Minute}
	for _, name := range names {
		if name != self {
			m.Members = append(m.Members, pimgossip.Member{Name: name, KnownFor: time.Minute})
		}
	}
	return m
}

// settle updates a limiter until it may own backend servers, and returns the time.
func settle(l *Limiter, now pimclock.Instant, m pimgossip.Membership) pimclock.Instant {
	for end := now.Add(DefaultSettle); ; now = now.Add(200 * time.Millisecond) {
		l.Update(now, m)
		if !now.Before(end) {
			return now
		}
	}
}

func host(id pimcatalog.HostID) *pimcatalog.Host {
	return &pimcatalog.Host{ID: id, DataCentre: "ikeja", Service: "desk"}
}

const start = pimclock.Instant(time.Hour)

// Guards against an allowance that is rounded up, lacks the reserve, or overflows with a wrong value.
func TestAllowance(t *testing.T) {
	for _, test := range []struct {
		perSecond, overage, slack float64
		want                      int
	}{
		{0, 1.5, 5, 4},
		{2, 1.5, 5, 7},
		{1, 1.5, 5, 5},
		{0, 1.5, 0, 0},
		{0.5, 1.5, 0, 0},
		{1, 1.5, 0, 1},
		{2, 1, 0, 1},
		{-10, 1.5, 5, 4},
		{math.NaN(), 1.5, 5, 4},
		{1e300, 1.5, 5, maxAllowance - 1},
		{math.Inf(1), 1.5, 5, maxAllowance - 1},
	} {
		s := Settings{Overage: test.overage, Slack: test.slack}
		is.New(t).Equal(s.allowance(test.perSecond), test.want)
	}
}

// Guards against a window that is divided into fixed seconds, in which twice the allowance fits around a boundary.
func TestWindowSlides(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1"))
	h, first := host(1), now
	for range 4 {
		is.True(l.Allows(now, h, 0))
		l.Record(now, h.ID)
		now = now.Add(200 * time.Millisecond)
		l.Update(now, group("vm-1"))
	}
	is.True(!l.Allows(now, h, 0))
	is.True(!l.Allows(first.Add(time.Second), h, 0))
	is.True(!l.AllowsWithin(now, h, 0, 200*time.Millisecond)) // the first packet was 800 ms ago
	is.True(l.AllowsWithin(now, h, 0, 400*time.Millisecond))
	now = first.Add(window)
	l.Update(now, group("vm-1"))
	is.True(!l.Allows(now, h, 0))
	is.True(l.Allows(now.Add(1), h, 0))
	l.Record(now.Add(1), h.ID)
	is.True(!l.Allows(now.Add(2), h, 0))
	is.True(l.Allows(now.Add(2), h, 1)) // a higher limit takes effect at once
	is.True(l.Allows(now.Add(2), host(2), 0))
}

// Guards against a lower limit that lets packets pass which were sent under the higher one.
func TestLimitIsLowered(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1"))
	for range 10 {
		l.Record(now, 1)
	}
	now = now.Add(time.Second)
	is.True(!l.Allows(now, host(1), 0))
	is.True(l.AllowsWithin(now, host(1), 0, 200*time.Millisecond))
}

// Guards against backend servers that two VMs of one membership own, or that none owns.
func TestEachBackendServerHasOneOwner(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 7 {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	owners := map[pimcatalog.HostID]int{}
	owned := map[string]int{}
	for _, name := range names {
		l := New(settings(name))
		now := settle(l, start, group(name, names...))
		for id := range pimcatalog.HostID(7000) {
			isOwned := l.Owns(now, host(id))
			is.Equal(l.Owner(host(id)) == name, isOwned)
			if isOwned {
				owners[id]++
				owned[name]++
			}
		}
	}
	is.Equal(len(owners), 7000)
	for _, n := range owners {
		is.Equal(n, 1)
	}
	for _, n := range owned {
		is.True(n > 850 && n < 1150) // spread evenly
	}
}

// Guards against a VM that owns backend servers of another data centre, of which the VMs there know nothing.
func TestOtherDataCentre(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1"))
	h := host(1)
	is.True(l.Allows(now, h, 0))
	h.DataCentre = "apapa"
	is.True(!l.Allows(now, h, 0))
	is.Equal(l.Owner(h), "")
}

// Guards against a VM that owns backend servers although it may not know all VMs, or they may not know it.
func TestUnsettledVMOwnsNothing(t *testing.T) {
	for name, change := range map[string]func(m *pimgossip.Membership){
		"started":    func(m *pimgossip.Membership) { m.RunningFor = DefaultSettle - 1 },
		"incomplete": func(m *pimgossip.Membership) { m.Incomplete = true },
		"by name":    func(m *pimgossip.Membership) { m.Members[1].KnownFor = 0 },
		"new":        func(m *pimgossip.Membership) { m.Members[1].KnownFor = DefaultSettle - 1 },
	} {
		is := is.New(t)
		l := New(settings("vm-1"))
		m := group("vm-1", "vm-2", "vm-3")
		change(&m)
		now := settle(l, start, m)
		for id := range pimcatalog.HostID(100) {
			if l.Owns(now, host(id)) {
				t.Fatal(name)
			}
		}
		l.Update(now, group("vm-1", "vm-2", "vm-3"))
		is.True(ownsAny(l, now))
	}
}

func ownsAny(l *Limiter, now pimclock.Instant) bool {
	for id := range pimcatalog.HostID(100) {
		if l.Owns(now, host(id)) {
			return true
		}
	}
	return false
}

// Guards against two owners while a VM joins: the earlier owner stops at once, and the new one waits.
func TestOwnerStopsWhenAnotherVMJoins(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1"))
	joined := group("vm-1")
	joined.Members = []pimgossip.Member{{Name: "vm-2"}}
	l.Update(now, joined)
	is.True(ownsAny(l, now)) // the VM stays settled
	other := New(settings("vm-2"))
	settle(other, now.Add(-DefaultSettle), group("vm-2", "vm-1"))
	lost := 0
	for id := range pimcatalog.HostID(100) {
		is.True(l.Owns(now, host(id)) != other.Owns(now, host(id)))
		if other.Owns(now, host(id)) {
			lost++
		}
	}
	is.True(lost > 30 && lost < 70)
}

// Guards against a VM that takes over at once from one that was replaced under another name, and that may have sent packets a
// moment before.
func TestRemovedVMCountsForAWhile(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1", "vm-1", "vm-2"))
	before := map[pimcatalog.HostID]bool{}
	for id := range pimcatalog.HostID(100) {
		before[id] = l.Owns(now, host(id))
	}
	for range 15 {
		now = now.Add(200 * time.Millisecond)
		l.Update(now, group("vm-1"))
		for id, owned := range before {
			is.Equal(l.Owns(now, host(id)), owned)
		}
	}
	now = now.Add(200 * time.Millisecond)
	l.Update(now, group("vm-1"))
	for id := range before {
		is.True(l.Owns(now, host(id)))
	}
}

// Guards against two VMs of the same name that both send.
func TestVMWithTheSameNameStopsBoth(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	m := group("", "vm-1", "vm-2")
	now := settle(l, start, m)
	is.True(!ownsAny(l, now))
}

// Guards against a VM that goes on with the membership from before a pause.
func TestPausedVMOwnsNothing(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	m := group("vm-1", "vm-2")
	now := settle(l, start, m)
	is.True(ownsAny(l, now))
	now = now.Add(maxUpdateAge + 1)
	is.True(!ownsAny(l, now)) // before the first update
	l.Update(now, m)
	is.True(!ownsAny(l, now))
	now = settle(l, now, m)
	is.True(ownsAny(l, now))
}

// Guards against memory that grows with the backend servers that have ever been in slow start.
func TestPacketsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := New(settings("vm-1"))
	now := settle(l, start, group("vm-1"))
	for id := range pimcatalog.HostID(3 * maxOwned) {
		l.Allows(now, host(id), 0)
		l.Record(now, id)
	}
	is.True(len(l.owned) <= maxOwned)
	now = now.Add(window + 1)
	l.Update(now, group("vm-1"))
	is.Equal(len(l.sent), 0)
}

// BenchmarkAllows measures a decision about a backend server in slow start in a data centre of 380 VMs.
func BenchmarkAllows(b *testing.B) {
	var names []string
	for i := range 380 {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	l := New(settings("vm-0"))
	now := settle(l, start, group("vm-0", names...))
	h := host(1)
	b.ReportAllocs()
	for b.Loop() {
		l.Allows(now, h, 2)
	}
}

// BenchmarkUpdate measures an update of the membership in a data centre of 380 VMs.
func BenchmarkUpdate(b *testing.B) {
	var names []string
	for i := range 380 {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	l, m := New(settings("vm-0")), group("vm-0", names...)
	b.ReportAllocs()
	for b.Loop() {
		l.Update(start, m)
	}
}
