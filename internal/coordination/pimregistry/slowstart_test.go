package pimregistry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// slowStartChange is a configuration with a limit for the service of hostChange.
func slowStartChange(version pimcatalog.Version, perSecond float64) Change {
	c := configChange(5, version, route(1, time.Second))
	c.Config.SlowStart = []pimcatalog.SlowStart{{Service: "desk", Duration: 2 * time.Second, PerSecond: perSecond}}
	return c
}

// relay encodes the changes for one registry by another, as between two VMs.
func relay(t *testing.T, from, to *Registry, change func(d *Delta)) error {
	t.Helper()
	is := is.New(t)
	d := from.Since(to.DeltaRequest())
	if change != nil {
		change(&d)
	}
	data, err := pimmesh.Encode(&d)
	is.NoErr(err)
	var decoded Delta
	is.NoErr(pimmesh.Decode(data, &decoded))
	return to.Merge(decoded)
}

// Guards against two VMs with the same version that disagree about a limit: from the platform, as a whole, and as a change.
func TestLimitOfTheSlowStartIsPassedOn(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	reader, other := newRegistry(clock), newRegistry(clock)
	is.NoErr(reader.Restore(Snapshot{Revision: 10, Changes: []Change{slowStartChange(1, 3)}}))
	is.NoErr(relay(t, reader, other, nil))
	perSecond, ok := other.Catalog().SlowStart("desk")
	is.True(ok)
	is.Equal(perSecond, 3.0)
	is.NoErr(reader.Apply(Batch{From: 10, To: 11, Changes: []Change{slowStartChange(2, 0)}}))
	is.NoErr(relay(t, reader, other, nil))
	perSecond, ok = other.Catalog().SlowStart("desk")
	is.True(ok)
	is.Equal(perSecond, 0.0)
	without := configChange(12, 3, route(1, time.Second))
	is.NoErr(reader.Apply(Batch{From: 11, To: 12, Changes: []Change{without}}))
	is.NoErr(relay(t, reader, other, nil))
	_, ok = other.Catalog().SlowStart("desk")
	is.True(!ok)
}

// Guards against a limit that is missing for as long as the version lasts, since the configuration came from a VM of the previous
// version: all services count as having the lowest one, until the platform or another VM sends the configuration.
func TestLimitsThatAVMOfThePreviousVersionLeavesOut(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	previous, other := newRegistry(clock), newRegistry(clock)
	is.NoErr(previous.Restore(Snapshot{Revision: 10, Changes: []Change{slowStartChange(1, 3)}}))
	is.NoErr(relay(t, previous, other, func(d *Delta) { d.Config.SlowStart, d.Config.HasSlowStart = nil, false }))
	perSecond, ok := other.Catalog().SlowStart("desk")
	is.True(ok)
	is.Equal(perSecond, 0.0)

	third := newRegistry(clock)
	is.NoErr(relay(t, other, third, nil)) // does not pass on what it does not know
	_, ok = third.Catalog().SlowStart("desk")
	is.True(ok)

	is.NoErr(other.Restore(Snapshot{Revision: 11, Changes: []Change{slowStartChange(1, 3)}}))
	perSecond, ok = other.Catalog().SlowStart("desk")
	is.True(ok)
	is.Equal(perSecond, 3.0)
}

// Guards against a slow start that ends too early on a VM: by the time that the entry is read, by its rounding, by relays, and by a
// clock that runs fast.
func TestSlowStartNeverEndsEarly(t *testing.T) {
	is := is.New(t)
	// The first clock runs 0.05% fast, the second one 0.05% slow, the third one fast again.
	fast, slow, fastAgain := &pimclock.Manual{}, &pimclock.Manual{}, &pimclock.Manual{}
	advance := func(d time.Duration) {
		fast.Advance(d + d/2000)
		slow.Advance(d - d/2000)
		fastAgain.Advance(d + d/2000)
	}
	const left = 20 * time.Second // of the true slow start, less than a millisecond more than published
	h := hostChange(6, 7)
	h.Host.Warmup = left - 900*time.Microsecond
	registries := []*Registry{newRegistry(fast), newRegistry(slow), newRegistry(fastAgain)}
	clocks := []*pimclock.Manual{fast, slow, fastAgain}
	is.NoErr(registries[0].Restore(Snapshot{Revision: 10, Changes: []Change{slowStartChange(1, 3), h}}))
	advance(7 * time.Second)
	is.NoErr(relay(t, registries[0], registries[1], nil))
	advance(7 * time.Second)
	is.NoErr(relay(t, registries[1], registries[2], nil))
	advance(6*time.Second - 1)
	for i, r := range registries {
		is.True(r.Catalog().Host(h.ID.Tag()).ColdFor(clocks[i].Now()) > 0)
	}
	advance(100 * time.Millisecond) // but not much later either
	for i, r := range registries {
		is.Equal(r.Catalog().Host(h.ID.Tag()).ColdFor(clocks[i].Now()), time.Duration(0))
	}
}
