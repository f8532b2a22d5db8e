package pimregistry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// leavingChange is a report of backend server 7, which says that it leaves.
func leavingChange(revision pimid.Revision) Change {
	c := hostChange(revision, 7)
	c.Host.Leaving = true
	return c
}

// Guards against a backend server whose leaving waits for a large configuration, at the reader or at another VM, against a view that
// counts as complete without the configuration, and against a configuration that is not read any more.
func TestUrgentChangesGoAheadOfAConfiguration(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	reader, other := startedRegistry(t, clock), startedRegistry(t, clock)
	from := reader.Revision()
	leaving, config := leavingChange(from+2), configChange(from+1, 9, route(3, time.Second))
	is.True(reader.ApplyUrgent(Batch{From: from, To: from + 2, Changes: []Change{leaving}}))
	is.True(!reader.ApplyUrgent(Batch{From: from, To: from + 2, Changes: []Change{leaving}})) // nothing new
	is.NoErr(other.Merge(reader.SinceUrgent(other.DeltaRequest())))
	for _, r := range []*Registry{reader, other} {
		is.True(host(r, 7).Leaving)
		is.Equal(r.Revision(), from)
		is.Equal(r.DeltaRequest().Urgent, from+2)
		is.Equal(r.Catalog().Routes.Route(route(3, 0).Address), nil)
	}
	is.NoErr(reader.Apply(Batch{From: from, To: from + 2, Changes: []Change{config, leaving}}))
	is.NoErr(other.Merge(reader.Since(other.DeltaRequest())))
	for _, r := range []*Registry{reader, other} {
		is.True(host(r, 7).Leaving)
		is.Equal(r.Revision(), from+2)
		is.True(r.Catalog().Routes.Route(route(3, 0).Address) != nil)
	}
}

// Guards against the end of a living backend server that a complete list does not have yet, since its entry is newer than the list.
func TestListThatIsOlderThanUrgentChangesEndsNoBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	clock.Advance(time.Minute)
	r, lister := startedRegistry(t, clock), newRegistry(clock)
	from := r.Revision()
	list := []Change{configChange(from+1, 9, route(1, time.Second)), hostChange(6, 7)}
	lister.ReadSucceeded(lister.clock.Now())
	is.NoErr(lister.Restore(Snapshot{Revision: from + 1, Changes: list}))
	clock.Advance(time.Minute) // entries that lapse now have ended
	is.True(r.ApplyUrgent(Batch{From: from, To: from + 2, Changes: []Change{hostChange(from+2, 9)}}))
	behind := r.SinceUrgent(DeltaRequest{From: from, Urgent: from})
	r.ReadSucceeded(r.clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: from + 1, Changes: list}))
	is.True(host(r, 9).AcceptsNewFlows(clock.Now()))

	other := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	is.NoErr(other.Merge(behind))
	is.NoErr(other.Merge(lister.Since(DeltaRequest{}))) // all entries of a VM that does not have the new one
	is.Equal(other.Revision(), from+1)
	is.True(host(other, 9).AcceptsNewFlows(clock.Now()))
	is.Equal(other.DeltaRequest().Urgent, from+2)
}

// Guards against an entry whose change is left out of a delta, since it has changed again after the end of the delta.
func TestDeltaHasEntriesThatChangedAgain(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	reader, other := startedRegistry(t, clock), startedRegistry(t, clock)
	from := reader.Revision()
	apply(t, reader, leavingChange(from+1))
	is.True(reader.ApplyUrgent(Batch{From: from + 1, To: from + 3, Changes: []Change{leavingChange(from + 3)}}))
	is.NoErr(other.Merge(reader.Since(other.DeltaRequest())))
	is.Equal(other.Revision(), from+1)
	is.True(host(other, 7).Leaving)
	is.Equal(other.DeltaRequest().Urgent, from+3)
}

// Guards against changes of backend servers that are missed because urgent ones do not lead on from those that are known, and against
// changes of an earlier era that replace later ones.
func TestUrgentChangesWithAGapAreRefused(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := viewOfEraOne(t, clock)
	from := r.Revision()
	is.True(errors.Is(r.Merge(Delta{From: from + 1, To: from + 2, UrgentOnly: true}), ErrGap))
	is.True(!r.ApplyUrgent(Batch{From: from + 1, To: from + 2}))
	is.True(errors.Is(r.Merge(Delta{From: from, To: inEra(2, 1), UrgentOnly: true}), ErrGap))
	is.True(!r.ApplyUrgent(Batch{From: from, To: inEra(2, 1)}))
	is.Equal(r.DeltaRequest().Urgent, from)
	is.True(!newRegistry(clock).ApplyUrgent(Batch{From: 0, To: from})) // a VM without a view needs all entries

	r.ReadSucceeded(r.clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: inEra(2, 1)}))
	is.True(!r.ApplyUrgent(Batch{From: from, To: from + 2}))
	is.Equal(r.DeltaRequest().Urgent, inEra(2, 1))
	is.Equal(r.SinceUrgent(DeltaRequest{From: from, Urgent: from}), Delta{})
}

// Guards against a VM that takes the changes of backend servers from one that has started since and does not know which were removed.
func TestUrgentChangesDoNotComeFromAVMThatStartedLater(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, late := startedRegistry(t, clock), newRegistry(clock)
	from := r.Revision()
	late.ReadSucceeded(late.clock.Now())
	is.NoErr(late.Restore(Snapshot{Revision: from + 5, Changes: []Change{configChange(5, 3)}}))
	is.Equal(late.SinceUrgent(r.DeltaRequest()), Delta{})
	is.NoErr(r.Merge(late.SinceUrgent(r.DeltaRequest()))) // changes nothing
	is.Equal(r.DeltaRequest().Urgent, from)
}

// urgentAction lets VM i take urgent changes from the platform or from VM j, at once or later, or list the platform slowly.
func (p *fakePlatform) urgentAction(rng *rand.Rand, lists map[int]Snapshot, fleet []*Registry, i, j int) {
	r, other := fleet[i], fleet[j]
	switch rng.IntN(5) {
	case 0, 1:
		b := p.since(r.DeltaRequest().Urgent - pimid.Revision(rng.IntN(2)))
		b.To -= pimid.Revision(rng.IntN(2)) // the answer to an earlier watch
		b.Changes = slices.DeleteFunc(b.Changes, func(c Change) bool { return c.Config != nil || c.Revision > b.To })
		r.ApplyUrgent(b)
	case 2:
		_ = r.Merge(other.SinceUrgent(r.DeltaRequest())) // a gap is refused
	case 3:
		p.pending[i] = append(p.pending[i], other.SinceUrgent(r.DeltaRequest()))
	case 4:
		if s, ok := lists[i]; ok {
			r.ReadSucceeded(r.clock.Now())
			_ = r.Restore(s) // a list older than the view is refused
			delete(lists, i)
		} else {
			lists[i] = p.snapshot()
		}
	}
}

// asOf returns the last change of an entry up to a revision.
func (p *fakePlatform) asOf(id pimcatalog.HostID, revision pimid.Revision) (last Change) {
	for _, c := range p.log {
		if c.ID == id && c.Revision <= revision {
			last = c
		}
	}
	return last
}

// checkEntries fails the test unless a VM has all changes of backend servers up to its revision and, if they are the last ones of their
// entries, up to its urgent revision, and each entry as it was at the platform.
func (p *fakePlatform) checkEntries(t *testing.T, seed uint64, r *Registry, before map[pimcatalog.HostID]pimid.Revision) {
	t.Helper()
	for id := pimcatalog.HostID(1); id <= 6; id++ {
		key := keyOf(hostChange(0, id).Host)
		last := r.lastChange(key)
		if last < before[id] {
			t.Fatalf("seed %d: host %d went back from %d to %d", seed, id, before[id], last)
		}
		before[id] = last
		complete := r.urgent
		if p.asOf(id, p.revision).Revision > r.urgent {
			// Parts leave out an entry that has changed again after them; a view of which parts are missing confirms nothing.
			complete = r.revision
		}
		want := p.asOf(id, complete)
		if want.Host != nil && last < want.Revision && (complete > r.revision || !r.isPartial) {
			t.Fatalf("seed %d: host %d is at %d of %d, although all is known up to %d", seed, id, last, want.Revision, complete)
		}
		h, published := r.entries.get(key), p.asOf(id, last)
		if h != nil && h.Unlisted != (published.Host == nil) || h != nil && !h.Unlisted && h.Leaving != published.Host.Leaving {
			t.Fatalf("seed %d: host %d at %d is %+v, published %+v", seed, id, last, h, published.Host)
		}
	}
}

// Guards against entries that go back, are missed or end by mistake when urgent changes arrive before or after lists, watches,
// restarts and deltas of any order.
func TestVMsAgreeWithUrgentChangesInAnyOrder(t *testing.T) {
	const seeds, vms, steps = 500, 4, 160
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 3))
		clock := &pimclock.Manual{}
		p := &fakePlatform{routes: map[uint16]pimcatalog.Route{}, hosts: map[pimcatalog.HostID]Change{}, pending: map[int][]Delta{}}
		fleet := make([]*Registry, vms)
		known := make([]map[pimcatalog.HostID]pimid.Revision, vms)
		lists := map[int]Snapshot{}
		restart := func(i int) {
			cfg := DefaultSettings(3 * time.Second)
			cfg.PartSize = 1 + int(seed%4)
			fleet[i], known[i] = New(cfg, clock, nil), map[pimcatalog.HostID]pimid.Revision{}
			delete(lists, i)
		}
		for i := range fleet {
			restart(i)
		}
		for range steps {
			clock.Advance(50 * time.Millisecond)
			i, j := rng.IntN(vms), rng.IntN(vms)
			switch n := rng.IntN(48); {
			case n == 0:
				restart(i)
			case n < 24:
				p.urgentAction(rng, lists, fleet, i, j)
			default:
				p.randomAction(rng, fleet, i, j)
			}
			p.checkEntries(t, seed, fleet[i], known[i])
		}
		checkAgreement(t, seed, p, clock, fleet)
	}
}

// Guards against a view that counts as complete without a change of a backend server that has changed before and after the end of a
// part, since the next part came from a VM that does not have the second change yet. Found by
// TestVMsAgreeWithUrgentChangesInAnyOrder (seed 46).
func TestViewIsPartialUntilEntriesLeftOutOfAPartArrive(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	cfg := DefaultSettings(3 * time.Second)
	cfg.PartSize = 2
	sender, slower, r := New(cfg, clock, nil), newRegistry(clock), newRegistry(clock)
	for _, v := range []*Registry{sender, slower, r} {
		v.ReadSucceeded(v.clock.Now())
		is.NoErr(v.Restore(Snapshot{Revision: 4, Changes: []Change{configChange(1, 3, route(1, time.Second)), hostChange(2, 7)}}))
	}
	for _, v := range []*Registry{sender, slower} {
		apply(t, v, leavingChange(5), hostChange(6, 8), hostChange(7, 9), hostChange(8, 10))
	}
	apply(t, sender, leavingChange(20))
	is.NoErr(r.Merge(sender.Since(r.DeltaRequest())))
	is.Equal(r.Revision(), pimid.Revision(7))
	is.NoErr(r.Merge(slower.Since(r.DeltaRequest())))
	is.Equal(r.Revision(), pimid.Revision(8))
	is.True(!host(r, 7).Leaving)
	clock.Advance(time.Minute)
	r.Confirm(8, clock.Now())
	is.True(!r.Fresh(clock.Now()))
	is.True(r.Since(DeltaRequest{}).More)
	is.NoErr(r.Merge(sender.Since(r.DeltaRequest())))
	is.True(host(r, 7).Leaving)
	r.Confirm(20, clock.Now())
	is.True(r.Fresh(clock.Now()))
}

// Guards against a backend server that ended and is restored for good: a VM that has started has a part from one VM, which no longer
// knows the backend server, and takes the next changes from another VM or an earlier answer that still has it. Found by
// TestVMsAgreeWithUrgentChangesInAnyOrder (seed 27384 of 60,000).
func TestPartIsNotContinuedFromAnEarlierView(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	cfg := DefaultSettings(3 * time.Second)
	cfg.PartSize = 1
	lister, earlier, r := New(cfg, clock, nil), newRegistry(clock), newRegistry(clock)
	config, ended := configChange(1, 3, route(1, time.Second)), hostChange(7, 9)
	earlier.ReadSucceeded(earlier.clock.Now())
	is.NoErr(earlier.Restore(Snapshot{Revision: 6, Changes: []Change{config, hostChange(5, 7), hostChange(6, 8)}}))
	apply(t, earlier, ended)
	lister.ReadSucceeded(lister.clock.Now())
	is.NoErr(lister.Restore(Snapshot{Revision: 10, Changes: []Change{config, hostChange(5, 7), hostChange(6, 8)}}))
	is.NoErr(r.Merge(lister.Since(r.DeltaRequest())))
	is.Equal(r.Revision(), pimid.Revision(5))

	is.True(errors.Is(r.Merge(earlier.Since(r.DeltaRequest())), ErrGap))
	is.True(errors.Is(r.Merge(earlier.SinceUrgent(r.DeltaRequest())), ErrGap))
	is.True(errors.Is(r.Apply(Batch{From: 5, To: 7, Changes: []Change{hostChange(6, 8), ended}}), ErrStale))
	is.True(!r.ApplyUrgent(Batch{From: 5, To: 7, Changes: []Change{hostChange(6, 8), ended}}))
	is.NoErr(r.Merge(lister.Since(r.DeltaRequest())))
	is.Equal(r.Revision(), pimid.Revision(10))
	is.Equal(host(r, 9), nil)
}

// Guards against a request for evacuation that waits behind a large configuration on the link between two VMs, and against a VM that
// takes the rest of the view for read because of it.
func TestEvacuationGoesAheadOfAConfiguration(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	reader, other := startedRegistry(t, clock), startedRegistry(t, clock)
	from := reader.Revision()
	apply(t, reader, configChange(from+1, 9, route(3, time.Second)), evacuate(from+2, "ikeja"))
	d := reader.SinceUrgent(other.DeltaRequest())
	is.NoErr(other.Merge(d))
	is.True(other.Catalog().IsEvacuated("ikeja"))
	is.Equal(other.Revision(), from)
	is.Equal(other.ReadFrom(), from)
	apply(t, reader, endEvacuation(from+3, "ikeja"))
	is.NoErr(other.Merge(reader.SinceUrgent(other.DeltaRequest())))
	is.True(!other.Catalog().IsEvacuated("ikeja"))
	is.NoErr(other.Merge(d)) // a late copy
	is.True(!other.Catalog().IsEvacuated("ikeja"))
	is.NoErr(other.Merge(reader.Since(other.DeltaRequest())))
	is.Equal(other.ReadFrom(), from+3)
}

// Guards against a request for evacuation that the reader itself gets only behind a large configuration.
func TestReaderAppliesUrgentEvacuations(t *testing.T) {
	is := is.New(t)
	r := startedRegistry(t, &pimclock.Manual{})
	from := r.Revision()
	begin, end := evacuate(from+2, "ikeja"), endEvacuation(from+3, "ikeja")
	is.True(r.ApplyUrgent(Batch{From: from, To: from + 2, Changes: []Change{begin}}))
	is.True(r.Catalog().IsEvacuated("ikeja"))
	is.True(r.ApplyUrgent(Batch{From: from + 2, To: from + 3, Changes: []Change{end}}))
	is.True(!r.Catalog().IsEvacuated("ikeja"))
	is.Equal(r.ReadFrom(), from)
	is.NoErr(r.Apply(Batch{From: from, To: from + 2, Changes: []Change{configChange(from+1, 9, route(3, time.Second)), begin}}))
	is.True(!r.Catalog().IsEvacuated("ikeja")) // the late response does not begin it again
	is.Equal(r.ReadFrom(), from+2)
}

// Guards against a leaving that is not passed on since it takes place before the end of a part that leaves the entry out: a VM that
// lacks the later parts, of either kind, does not know all changes of backend servers up to the end of the part.
func TestUrgentChangesDoNotComeFromAVMThatLacksParts(t *testing.T) {
	for name, urgentOnly := range map[string]bool{"all changes": false, "urgent changes": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &pimclock.Manual{}
			sender, partial, receiver, behind := startedRegistry(t, clock), startedRegistry(t, clock), startedRegistry(t, clock), startedRegistry(t, clock)
			sender.cfg.PartSize = 1
			from := sender.Revision()
			leaving, restated := leavingChange(from+1), leavingChange(from+9)
			apply(t, behind, leaving, hostChange(from+2, 9), hostChange(from+3, 10))
			apply(t, sender, leaving, hostChange(from+2, 9), hostChange(from+3, 10), restated)
			if urgentOnly {
				is.NoErr(partial.Merge(sender.SinceUrgent(partial.DeltaRequest())))
			} else {
				is.NoErr(partial.Merge(sender.Since(partial.DeltaRequest())))
			}
			is.True(!host(partial, 7).Leaving) // left out, since it changed again
			is.NoErr(receiver.Merge(partial.SinceUrgent(receiver.DeltaRequest())))
			is.NoErr(receiver.Merge(behind.SinceUrgent(receiver.DeltaRequest())))
			is.True(host(receiver, 7).Leaving)

			for partial.DeltaRequest().Urgent < sender.DeltaRequest().Urgent {
				if urgentOnly {
					is.NoErr(partial.Merge(sender.SinceUrgent(partial.DeltaRequest())))
				} else {
					is.NoErr(partial.Merge(sender.Since(partial.DeltaRequest())))
				}
			}
			is.NoErr(receiver.Merge(partial.SinceUrgent(receiver.DeltaRequest())))
			is.Equal(receiver.DeltaRequest().Urgent, from+9)
		})
	}
}
