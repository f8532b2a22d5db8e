package pimregistry

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func evacuate(revision pimid.Revision, dc pimid.DataCentre) Change {
	return Change{Revision: revision, Created: revision, Evacuation: dc}
}

func endEvacuation(revision pimid.Revision, dc pimid.DataCentre) Change {
	return Change{Revision: revision, Evacuation: dc, Removed: true}
}

// listAt returns a list with the configuration and the backend servers of startedRegistry.
func listAt(revision pimid.Revision, changes ...Change) Snapshot {
	era := revision.Era()
	again := func(c Change) Change {
		c.Revision = inEra(era, c.Revision.Number())
		c.Created = c.Revision
		return c
	}
	return Snapshot{Revision: revision, Changes: append([]Change{
		again(configChange(5, 3, route(1, time.Second))), again(hostChange(6, 7)), again(hostChange(7, 8)),
	}, changes...)}
}

// Guards against new flows in an evacuated data centre, and against a data centre that stays evacuated after the request was
// removed, on each way that a change arrives.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	for name, change := range map[string]func(is *is.I, r *Registry, at pimid.Revision, c ...Change){
		"watch": func(is *is.I, r *Registry, at pimid.Revision, c ...Change) {
			if len(c) == 0 {
				c = append(c, endEvacuation(at, "ikeja"))
			}
			is.NoErr(r.Apply(Batch{From: r.Revision(), To: at, Changes: c}))
		},
		"list": func(is *is.I, r *Registry, at pimid.Revision, c ...Change) {
			is.NoErr(r.Restore(listAt(at, c...)))
		},
		"delta": func(is *is.I, r *Registry, at pimid.Revision, c ...Change) {
			sender := startedRegistry(t, r.clock)
			is.NoErr(sender.Apply(Batch{From: 10, To: at, Changes: c}))
			d := sender.Since(r.DeltaRequest())
			is.True(d.From > 0 && len(d.Hosts) == 0)
			is.NoErr(r.Merge(d))
		},
		"full state": func(is *is.I, r *Registry, at pimid.Revision, c ...Change) {
			sender := startedRegistry(t, r.clock)
			is.NoErr(sender.Restore(listAt(at, c...)))
			is.NoErr(r.Merge(sender.Since(DeltaRequest{})))
		},
		"new era": func(is *is.I, r *Registry, at pimid.Revision, c ...Change) {
			for i := range c {
				c[i].Revision = inEra(pimid.Era(at), 9)
			}
			is.NoErr(r.Restore(listAt(inEra(pimid.Era(at), 8), c...)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startedRegistry(t, &pimclock.Manual{})
			change(is, r, 20, evacuate(20, "ikeja"))
			is.True(r.Catalog().IsEvacuated("ikeja"))
			is.True(!r.Catalog().IsEvacuated("apapa"))
			change(is, r, 30)
			is.True(!r.Catalog().IsEvacuated("ikeja"))
			is.Equal(len(r.Catalog().Evacuated()), 0)
		})
	}
}

// Guards against a request that ends, or one that is restored, because a copy of an earlier state arrives late.
func TestLateCopyChangesNoEvacuation(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, other := startedRegistry(t, clock), startedRegistry(t, clock)
	before := other.Since(DeltaRequest{})
	is.NoErr(other.Restore(listAt(20, evacuate(20, "ikeja"))))
	during := other.Since(DeltaRequest{})
	apply(t, r, evacuate(20, "ikeja"))
	apply(t, r, evacuate(25, "apapa"))

	is.NoErr(r.Merge(before))
	is.True(errors.Is(r.Restore(listAt(19)), ErrStale))
	is.NoErr(r.Apply(Batch{From: 10, To: 19, Changes: []Change{endEvacuation(15, "ikeja")}}))
	is.Equal(r.Catalog().Evacuated(), []pimid.DataCentre{"apapa", "ikeja"})

	apply(t, r, endEvacuation(30, "ikeja"))
	is.NoErr(r.Merge(during))
	during.To = 40 // also if a forwarded delta has a newer revision
	is.NoErr(r.Merge(during))
	is.True(errors.Is(r.Restore(listAt(28, evacuate(20, "ikeja"))), ErrStale))
	is.NoErr(r.Apply(Batch{From: 10, To: 24, Changes: []Change{evacuate(20, "ikeja")}}))
	is.Equal(r.Catalog().Evacuated(), []pimid.DataCentre{"apapa"})
}

// Guards against a request that was published while a VM listed the platform and is lost with the next complete list, or is kept
// although it was removed meanwhile.
func TestEvacuationNewerThanItsList(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r, other := startedRegistry(t, clock), startedRegistry(t, clock)
	is.NoErr(r.Restore(listAt(20, evacuate(22, "ikeja"))))
	is.NoErr(r.Restore(listAt(21))) // read before the change
	is.True(r.Catalog().IsEvacuated("ikeja"))
	late := r.Since(DeltaRequest{})
	is.NoErr(r.Restore(listAt(23)))
	is.True(!r.Catalog().IsEvacuated("ikeja"))
	is.NoErr(other.Apply(Batch{From: 10, To: 24, Changes: []Change{evacuate(22, "ikeja"), endEvacuation(23, "ikeja")}}))
	is.NoErr(other.Merge(late))
	is.True(!other.Catalog().IsEvacuated("ikeja"))
}

// Guards against a VM that places flows in an evacuated data centre after its start, because the request is not in the first part
// of the full state, or because that part is refused.
func TestFirstPartOfADeltaHasAllEvacuations(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	cfg := DefaultSettings(3 * time.Second)
	cfg.PartSize = 1
	sender, starting := New(cfg, clock, nil), New(cfg, clock, nil)
	is.NoErr(sender.Restore(listAt(30, evacuate(25, "ikeja"))))
	part := sender.Since(starting.DeltaRequest())
	is.True(part.More)
	is.NoErr(starting.Merge(part))
	is.True(starting.Catalog().Ready() && starting.Catalog().IsEvacuated("ikeja"))

	behind := startedRegistry(t, clock)
	is.True(errors.Is(behind.Merge(sender.Since(DeltaRequest{From: 28, Base: 30, Config: 3})), ErrGap))
	is.True(behind.Catalog().IsEvacuated("ikeja"))
}

// Guards against a request that is ignored because its value cannot be read, and against more than one line in the log for each
// begin and end.
func TestEvacuationIsReportedOnce(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	var got []string
	listener := func(c Change, d Decision) {
		if c.Evacuation != "" && d != Outdated {
			got = append(got, fmt.Sprintf("%s %s removed=%v fault=%v", c.Evacuation, d, c.Removed, c.Fault != nil))
		}
	}
	r := New(DefaultSettings(time.Second), clock, listener)
	request := evacuate(8, "ikeja")
	request.Fault = errors.New("no JSON object")
	is.NoErr(r.Restore(listAt(10, request)))
	is.True(r.Catalog().IsEvacuated("ikeja"))
	is.NoErr(r.Restore(listAt(11, request)))
	apply(t, r, evacuate(12, "ikeja"))
	apply(t, r, endEvacuation(13, "ikeja"))
	apply(t, r, endEvacuation(14, "apapa")) // was never known
	other := startedRegistry(t, clock)
	is.NoErr(other.Restore(listAt(20, evacuate(15, "apapa"))))
	is.NoErr(r.Merge(other.Since(r.DeltaRequest())))
	is.NoErr(r.Restore(listAt(21)))
	is.Equal(got, []string{
		"ikeja applied removed=false fault=true", "ikeja renewed removed=false fault=false", "ikeja applied removed=true fault=false",
		"apapa relayed removed=false fault=false", "apapa applied removed=true fault=false",
	})
}

// Guards against a request that a VM never learns of, since it was published while its changes came from a VM of a version that
// knows of no evacuations.
func TestEvacuationMissedByAnOlderVersionIsReadLater(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	is.Equal(r.ReadFrom(), pimid.Revision(10))
	is.NoErr(r.Merge(Delta{From: 10, To: 20, Version: 3, Hosts: []HostState{{Host: *hostChange(20, 9).Host}}}))
	is.Equal(r.Revision(), pimid.Revision(20))
	is.Equal(r.ReadFrom(), pimid.Revision(10))
	is.NoErr(r.Apply(Batch{From: 10, To: 20, Changes: []Change{evacuate(15, "ikeja"), hostChange(20, 9)}}))
	is.True(r.Catalog().IsEvacuated("ikeja"))
	is.Equal(r.ReadFrom(), pimid.Revision(20))
}

// Guards against a delta that a VM of the version without evacuations cannot decode.
func TestOlderVersionDecodesADeltaWithEvacuations(t *testing.T) {
	is := is.New(t)
	r := startedRegistry(t, &pimclock.Manual{})
	apply(t, r, evacuate(20, "ikeja"))
	d := r.Since(DeltaRequest{})
	data, err := pimmesh.Encode(&d)
	is.NoErr(err)
	var older struct {
		From    pimid.Revision     `cbor:"1,keyasint"`
		To      pimid.Revision     `cbor:"2,keyasint"`
		Version pimcatalog.Version `cbor:"8,keyasint,omitempty"`
		Config  *ConfigDelta       `cbor:"3,keyasint,omitempty"`
		Hosts   []HostState        `cbor:"4,keyasint,omitempty"`
	}
	is.NoErr(pimmesh.Decode(data, &older))
	is.Equal(older.To, pimid.Revision(20))
	is.Equal(len(older.Hosts), 2)
}

// evacuated is the set of evacuated data centres from a revision on.
type evacuated struct {
	from pimid.Revision
	set  map[pimid.DataCentre]pimid.Revision
}

// evacuatingPlatform is a platform that publishes requests for evacuation and is restored from copies.
type evacuatingPlatform struct {
	rng *rand.Rand
	// states are those of all revisions, the present one last.
	states []evacuated
	log    []Change
	// copies holds the positions in states of which the present era has a copy.
	copies  []int
	pending [][]Delta
	lists   [][]Snapshot
}

var evacuatedNames = []pimid.DataCentre{"apapa", "ikeja", "yaba"}

func (p *evacuatingPlatform) now() evacuated { return p.states[len(p.states)-1] }

func (p *evacuatingPlatform) change() {
	state := p.now()
	state.set = maps.Clone(state.set)
	state.from++
	switch dc := evacuatedNames[p.rng.IntN(len(evacuatedNames))]; {
	case p.rng.IntN(3) == 0:
		p.log = append(p.log, hostChange(state.from, pimcatalog.HostID(1+p.rng.IntN(6))))
	case state.set[dc] != 0 && p.rng.IntN(4) > 0:
		delete(state.set, dc)
		p.log = append(p.log, endEvacuation(state.from, dc))
	default:
		state.set[dc] = state.from
		p.log = append(p.log, evacuate(state.from, dc))
	}
	p.states = append(p.states, state)
}

// restore begins an era with the state of a copy.
func (p *evacuatingPlatform) restore() {
	if len(p.copies) == 0 {
		return
	}
	era := p.now().from.Era() + 1
	copied := p.states[p.copies[p.rng.IntN(len(p.copies))]]
	state := evacuated{from: inEra(era, copied.from.Number()), set: map[pimid.DataCentre]pimid.Revision{}}
	for dc, revision := range copied.set {
		state.set[dc] = inEra(era, revision.Number())
	}
	p.states, p.log, p.copies = append(p.states, state), nil, nil
}

// list returns a list whose last page is read after some more changes.
func (p *evacuatingPlatform) list() Snapshot {
	revision := p.now().from
	for range p.rng.IntN(3) {
		p.change()
	}
	s := Snapshot{Revision: revision}
	for dc, revision := range p.now().set {
		s.Changes = append(s.Changes, evacuate(revision, dc))
	}
	return s
}

func (p *evacuatingPlatform) watch(r *Registry) {
	from := r.ReadFrom()
	if from == 0 || from.Era() != p.now().from.Era() {
		_ = r.Restore(p.list()) // a list older than the view is refused
		return
	}
	b := Batch{From: from, To: p.now().from}
	for _, c := range p.log {
		if c.Revision > from {
			b.Changes = append(b.Changes, c)
		}
	}
	_ = r.Apply(b) // known changes are ignored
}

// step changes the platform, or lets VM i read it or receive a delta from VM j, at once, later, or twice.
func (p *evacuatingPlatform) step(fleet []*Registry, i, j int) {
	switch p.rng.IntN(11) {
	case 0, 1:
		p.change()
	case 2:
		p.copies = append(p.copies, len(p.states)-1)
	case 3:
		if p.rng.IntN(6) == 0 {
			p.restore()
		}
	case 4, 5:
		p.watch(fleet[i])
	case 6:
		p.lists[i] = append(p.lists[i], p.list())
	case 7:
		if n := len(p.lists[i]); n > 0 {
			_ = fleet[i].Restore(p.lists[i][p.rng.IntN(n)])
		}
	case 8:
		_ = fleet[i].Merge(fleet[j].Since(fleet[i].DeltaRequest()))
	case 9:
		p.pending[i] = append(p.pending[i], fleet[j].Since(fleet[i].DeltaRequest()))
	case 10:
		if n := len(p.pending[i]); n > 0 {
			_ = fleet[i].Merge(p.pending[i][p.rng.IntN(n)])
		}
	}
}

// check fails the test unless the view of a VM has for each data centre the state of one revision that is at least that up to which
// the VM knows all changes.
func (p *evacuatingPlatform) check(t *testing.T, seed uint64, r *Registry) {
	t.Helper()
	asOf := r.evacuations.asOf
	if asOf < r.revision {
		t.Fatalf("seed %d: evacuations up to %v in a view of %v", seed, asOf, r.revision)
	}
	first := max(0, slices.IndexFunc(p.states, func(s evacuated) bool { return s.from > asOf })-1)
	if asOf >= p.now().from {
		first = len(p.states) - 1
	}
	for _, dc := range evacuatedNames {
		isKnown := r.Catalog().IsEvacuated(dc)
		if !slices.ContainsFunc(p.states[first:], func(s evacuated) bool { return (s.set[dc] != 0) == isKnown }) {
			t.Fatalf("seed %d: evacuation of %s is %v, in no state since %v", seed, dc, isKnown, asOf)
		}
	}
}

// Guards against VMs that disagree on evacuations, or return to an earlier state, after lists, watches, restarts and deltas in any
// order, of which some arrive late or twice, while the platform is restored from copies.
func TestVMsAgreeOnEvacuationsInAnyOrder(t *testing.T) {
	const seeds, vms, steps = 1000, 4, 150
	for seed := range uint64(seeds) {
		clock := &pimclock.Manual{}
		p := &evacuatingPlatform{
			rng: rand.New(rand.NewPCG(seed, 3)), pending: make([][]Delta, vms), lists: make([][]Snapshot, vms),
			states: []evacuated{{from: inEra(1, 1), set: map[pimid.DataCentre]pimid.Revision{}}},
		}
		fleet := make([]*Registry, vms)
		restart := func(i int) {
			cfg := DefaultSettings(3 * time.Second)
			cfg.PartSize = 1 + int(seed%3)
			fleet[i] = New(cfg, clock, nil)
		}
		for i := range fleet {
			restart(i)
		}
		for range steps {
			clock.Advance(50 * time.Millisecond)
			i, j := p.rng.IntN(vms), p.rng.IntN(vms)
			if p.rng.IntN(30) == 0 {
				restart(i)
				continue
			}
			p.step(fleet, i, j)
			p.check(t, seed, fleet[i])
		}
		p.watch(fleet[0])
		p.watch(fleet[0]) // what changed during a list
		want := slices.Sorted(maps.Keys(p.now().set))
		for i, r := range fleet {
			if err := mergeAll(r, fleet[0]); err != nil && i > 0 {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if got := r.Catalog().Evacuated(); !slices.Equal(got, want) {
				t.Fatalf("seed %d, VM %d: evacuated %v, published %v", seed, i, got, want)
			}
		}
	}
}
