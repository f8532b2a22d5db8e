package pimconfig

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func set(r pimid.Revision, key, value string) Event {
	return Event{Revision: r, Key: key, Value: []byte(value)}
}

func batch(from, to pimid.Revision, events ...Event) Batch {
	return Batch{From: from, To: to, Events: events}
}

// Guards against applying any part of a batch that leaves a gap, goes back or is out of order.
func TestApplyRefusesAllButTheNextBatch(t *testing.T) {
	for name, tc := range map[string]struct {
		batch Batch
		want  error
	}{
		"gap":          {batch(5, 6, set(6, "services/1", `{"id":1}`)), ErrNotContiguous},
		"overlap":      {batch(2, 4, set(4, "services/1", `{"id":1}`)), ErrNotContiguous},
		"older":        {batch(1, 2, set(2, "services/1", `{"id":1}`)), ErrStale},
		"same":         {batch(3, 3), ErrStale},
		"wrong order":  {batch(3, 5, set(5, "a", `1`), set(4, "b", `1`)), ErrDisorder},
		"beyond end":   {batch(3, 4, set(5, "a", `1`)), ErrDisorder},
		"before start": {batch(3, 4, set(3, "a", `1`)), ErrDisorder},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewStore(Settings{})
			is.NoErr(s.Apply(batch(0, 3, set(3, "services/7", `{"id":7}`))))
			before := s.Digest()
			err := s.Apply(tc.batch)
			is.True(errors.Is(err, tc.want))
			var re *RevisionError
			is.True(errors.As(err, &re))
			is.Equal(re.Have, pimid.Revision(3))
			is.Equal(s.Digest(), before)
			is.Equal(len(s.View().Services), 1)
		})
	}
}

// Guards against a snapshot of a lower or equal revision that replaces the state of the store.
func TestRestoreOnlyMovesForward(t *testing.T) {
	is := is.New(t)
	s := NewStore(Settings{})
	is.NoErr(s.Apply(batch(0, 9, set(9, "services/1", `{"id":1}`))))
	for _, r := range []pimid.Revision{0, 8, 9} {
		is.True(errors.Is(s.Restore(Snapshot{Revision: r}), ErrStale))
	}
	is.Equal(s.Counters().Stale, uint64(3))
	is.NoErr(s.Restore(Snapshot{Revision: 10, Entries: []Event{set(10, "services/2", `{"id":2}`)}}))
	is.Equal(len(s.View().Services), 1) // the snapshot deletes services/1
	is.Equal(s.View().Services[2].ID, pimid.ServiceID(2))
}

// Guards against digests that depend on the order of changes that led to a state, or that do not cover a change.
func TestDigestDependsOnlyOnState(t *testing.T) {
	is := is.New(t)
	a, b := NewStore(Settings{}), NewStore(Settings{})
	is.NoErr(a.Apply(batch(0, 1, set(1, "services/1", `{"id":1}`))))
	is.NoErr(a.Apply(batch(1, 3, set(2, "services/2", `{"id":2}`), Event{Revision: 3, Key: "services/1", Deleted: true})))
	is.NoErr(b.Restore(Snapshot{Revision: 3, Entries: []Event{set(2, "services/2", `{"id":2}`)}}))
	is.Equal(a.Digest(), b.Digest())
	c := NewStore(Settings{})
	is.NoErr(c.Restore(Snapshot{Revision: 3, Entries: []Event{set(2, "services/2", `{"id":3}`)}}))
	is.True(a.Digest() != c.Digest())
	is.True(!a.Observe(c.Digest()))
	is.Equal(a.Counters().Divergences, uint64(1))
	is.True(a.Observe(Digest{Revision: 4}))
}

// Guards against a bad value that removes the previous one or keeps other keys from being applied.
func TestBadValueKeepsPreviousAndOthers(t *testing.T) {
	errContract := errors.New("contract refused")
	for name, tc := range map[string]struct{ key, value string }{
		"no json":         {"services/1", `{`},
		"unknown field":   {"services/1", `{"id":1,"colour":"red"}`},
		"wrong id":        {"services/1", `{"id":2}`},
		"trailing":        {"services/1", `{"id":1} {}`},
		"wrong type":      {"services/1", `[]`},
		"id out of range": {"services/99999", `{"id":1}`},
		"leading zero":    {"services/01", `{"id":1}`},
		"unknown prefix":  {"things/1", `{}`},
		"no id":           {"services", `{}`},
		"short secret":    {"keys/1", `{"id":1,"secret":"AAAA","published_at":"2026-01-01T00:00:00Z"}`},
		"bad contract":    {"contracts/1", `{"id":1}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reported []*ValueError
			s := NewStore(Settings{
				OnBadValue:    func(e *ValueError) { reported = append(reported, e) },
				CheckContract: func(pimcontract.Contract) error { return errContract },
			})
			is.NoErr(s.Apply(batch(0, 1, set(1, "services/1", `{"id":1,"name":"first"}`))))
			is.NoErr(s.Apply(batch(1, 3, set(2, tc.key, tc.value), set(3, "backends/4", `{"id":4,"service":1}`))))
			is.Equal(s.View().Services[1].Name, "first")
			is.Equal(s.View().Backends[4].ID, pimid.BackendID(4))
			is.Equal(len(reported), 1)
			is.Equal(reported[0].Key, tc.key)
			is.Equal(s.Counters().BadValues, uint64(1))
			is.Equal(len(s.BadValues()), 1)
			is.NoErr(s.Apply(batch(3, 4, Event{Revision: 4, Key: tc.key, Deleted: true})))
			is.Equal(len(s.BadValues()), 0)
		})
	}
}

// Guards against changes of a view that was already published.
func TestViewsAreImmutable(t *testing.T) {
	is := is.New(t)
	s := NewStore(Settings{})
	is.NoErr(s.Apply(batch(0, 1, set(1, "services/1", `{"id":1,"name":"first"}`), set(1, "backends/1", `{"id":1}`))))
	old := s.View()
	is.NoErr(s.Apply(batch(1, 2, set(2, "services/1", `{"id":1,"name":"second"}`))))
	is.NoErr(s.Apply(batch(2, 3, Event{Revision: 3, Key: "backends/1", Deleted: true})))
	is.Equal(old.Services[1].Name, "first")
	is.Equal(len(old.Backends), 1)
	is.Equal(old.Revision, pimid.Revision(1))
	is.Equal(s.View().Services[1].Name, "second")
}
