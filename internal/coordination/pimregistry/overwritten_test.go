package pimregistry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// overwriting is an entry of another writer under the name of a backend server.
func overwriting(revision uint64, change func(h *pimcatalog.Host)) Change {
	c := agentOf(inEra(0, revision), 7, 9000)
	c.Name, c.Host.Name, c.Created = "i-7", "i-7", 6
	change(c.Host)
	return c
}

// Guards against resets of the flows of a living backend server, and against packets that go elsewhere, while another writer has overwritten
// its entry, until it writes it again; also if the configuration comes later or another VM passes on the entry.
func TestOpenFlowsGoOnWhileAnEntryIsOverwritten(t *testing.T) {
	for name, odd := range map[string]Change{
		"unknown service":           overwriting(11, func(*pimcatalog.Host) {}),
		"unknown service, no start": overwriting(11, func(h *pimcatalog.Host) { h.StartedAt = 0 }),
		"unknown service, leaving":  overwriting(11, func(h *pimcatalog.Host) { h.Leaving = true }),
		"no start":                  overwriting(11, func(h *pimcatalog.Host) { h.Service, h.StartedAt = "desk", 0 }),
		"unreadable":                {Revision: 11, Created: 6, ID: 7, Name: "i-7", Fault: errors.New("a field is missing")},
	} {
		second := overwriting(12, func(h *pimcatalog.Host) { h.Service = "notices" })
		configs := map[string][]Change{
			"configuration first": {naming(5, 1, "desk"), startedHost(6, 7), odd, second},
			"configuration later": {startedHost(6, 7), odd, second, naming(13, 1, "desk")},
			"named later":         {naming(5, 1, "video"), startedHost(6, 7), odd, second, naming(13, 2, "desk")},
			"dropped":             {naming(5, 1, "desk"), startedHost(6, 7), odd, naming(12, 2, "video"), second},
		}
		for order, changes := range configs {
			for path, read := range map[string]func(r *Registry) error{
				"watch": func(r *Registry) error { return r.Apply(Batch{From: 2, To: 14, Changes: changes}) },
				"other VM": func(r *Registry) error {
					other := newRegistry(r.clock)
					err := errors.Join(other.Restore(Snapshot{Revision: 2}), other.Apply(Batch{From: 2, To: 14, Changes: changes}))
					d := other.Since(DeltaRequest{From: 2, Base: 2})
					return errors.Join(err, r.Merge(d))
				},
			} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, order, path), func(t *testing.T) {
					is := is.New(t)
					clock := &pimclock.Manual{}
					r := newRegistry(clock)
					r.ReadSucceeded(clock.Now())
					is.NoErr(r.Restore(Snapshot{Revision: 2}))
					clock.Advance(time.Minute)
					r.ReadSucceeded(clock.Now())
					is.NoErr(read(r))
					is.Equal(host(r, 7).Address, startedHost(6, 7).Host.Address)
					is.True(!host(r, 7).Gone(clock.Now()))
					is.True(!host(r, 7).AcceptsNewFlows(clock.Now())) // its entry names no backend server to use
					for _, service := range []pimcatalog.Service{"agent", "notices"} {
						is.Equal(len(r.Catalog().Service(service)), 0)
					}
					own := startedHost(20, 7)
					own.Created = 6
					apply(t, r, own, naming(21, 3, "desk"))
					is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
					is.Equal(host(r, 7).Address, own.Host.Address)

					// Once more, soon after.
					again := second
					again.Revision = 22
					apply(t, r, again)
					is.Equal(host(r, 7).Address, own.Host.Address)
					is.True(!host(r, 7).Gone(clock.Now()))
				})
			}
		}
	}
}

// Guards against packets that go elsewhere, since the entry of a backend server was overwritten before it was first read, and again after it
// was written.
func TestEntryOverwrittenBeforeItWasReadAndAfterwards(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	odd := overwriting(8, func(*pimcatalog.Host) {})
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), odd}}))
	odd.Revision = 12
	apply(t, r, startedHost(11, 7), odd)
	is.Equal(host(r, 7).Address, startedHost(6, 7).Host.Address)
}

// Guards against reports that are kept for ever, and against memory that grows with what other writers write.
func TestOverwrittenReportsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), startedHost(6, 7)}}))
	for revision := uint64(11); revision < 30; revision++ {
		apply(t, r, overwriting(revision, func(h *pimcatalog.Host) { h.Service = pimcatalog.Service(fmt.Sprint(revision)) }))
	}
	is.Equal(len(r.overwritten[entryKey{7, "i-7"}].reports), maxOverwritten)
	is.Equal(host(r, 7).Address, startedHost(6, 7).Host.Address)
	clock.Advance(r.cfg.ReturnWithin)
	readUnchanged(r, 0)
	apply(t, r, startedHost(30, 7))
	clock.Advance(r.cfg.ReturnWithin)
	readUnchanged(r, 0)
	apply(t, r, naming(31, 2, "desk"))
	is.Equal(len(r.overwritten), 0)
}

// Guards against resets of the flows of a backend server at a VM that knows only the entry that another writer has written under its
// name, since a later backend server has the address of that entry.
func TestAddressOfAnUnpublishedEntryEndsNoBackendServer(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	later := startedHost(12, 8)
	odd := overwriting(11, func(h *pimcatalog.Host) { h.Address, h.StartedAt = later.Host.Address, 500 })
	is.NoErr(r.Restore(Snapshot{Revision: 13, Changes: []Change{naming(5, 1, "desk"), odd, later}}))
	is.True(!host(r, 7).Gone(clock.Now()))
	is.True(host(r, 8).AcceptsNewFlows(clock.Now()))
}

// Guards against a backend server that gets no flows any more after the platform was restored from a copy, since its own entry counts as
// older than the one that had overwritten it, and against one that is used for its former service then.
func TestOverwrittenEntryInARestoredCopy(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	list := Snapshot{Revision: inEra(1, 10), Changes: []Change{naming(inEra(1, 5), 1, "desk", "video"), startedHost(inEra(1, 6), 7)}}
	is.NoErr(r.Restore(list))
	odd := overwriting(11, func(*pimcatalog.Host) {})
	odd.Revision = inEra(1, 11)
	apply(t, r, odd)
	list.Revision, list.Changes = inEra(2, 10), []Change{naming(inEra(2, 5), 1, "desk", "video"), startedHost(inEra(2, 6), 7)}
	is.NoErr(r.Restore(list))
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	is.Equal(host(r, 7).Address, startedHost(6, 7).Host.Address)

	next := overwriting(12, func(h *pimcatalog.Host) { h.Service = "video" })
	next.Revision = inEra(2, 12)
	apply(t, r, next)
	is.Equal(len(r.Catalog().Service("video")), 1)
	list.Revision, list.Changes = inEra(3, 10), []Change{naming(inEra(3, 5), 1, "desk", "video"), startedHost(inEra(3, 6), 7)}
	is.NoErr(r.Restore(list))
	is.Equal(host(r, 7).Service, pimcatalog.Service("video"))
	is.True(!host(r, 7).AcceptsNewFlows(clock.Now())) // until it writes its entry again
	next.Revision = inEra(3, 12)
	apply(t, r, next)
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
}

// Guards against a backend server that is kept although it has not written its entry again, and against one that has no time to do so since
// the platform was away.
func TestOverwrittenEntryThatIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), startedHost(6, 7)}}))
	clock.Advance(time.Minute)
	readUnchanged(r, 0)
	odd := overwriting(11, func(*pimcatalog.Host) {})
	apply(t, r, odd)
	own := startedHost(6, 7).Host.Address
	is.Equal(host(r, 7).Address, own)

	clock.Advance(time.Second)
	r.ReadFailed()
	clock.Advance(20 * time.Second)
	readUnchanged(r, 0)
	apply(t, r, naming(12, 2, "desk"))
	is.Equal(host(r, 7).Address, own)

	clock.Advance(r.cfg.ReturnWithin)
	readUnchanged(r, 0)
	apply(t, r, naming(13, 3, "desk"))
	is.Equal(host(r, 7).Address, odd.Host.Address)
	is.Equal(len(r.Catalog().Service("agent")), 0)
	apply(t, r, Change{Revision: 14, ID: 7, Name: "i-7", Removed: true})
	is.True(host(r, 7).Gone(clock.Now()))
}

// Guards against a backend server that goes on under its entry when the next one is that of another service, which the configuration names.
func TestBackendServerThatStartsAgainForAnotherService(t *testing.T) {
	is := is.New(t)
	clock := &pimclock.Manual{}
	r := newRegistry(clock)
	r.ReadSucceeded(clock.Now())
	is.NoErr(r.Restore(Snapshot{Revision: 10, Changes: []Change{naming(5, 1, "desk"), startedHost(6, 7)}}))
	next := overwriting(11, func(h *pimcatalog.Host) { h.Service = "video" })
	apply(t, r, next)
	is.True(!host(r, 7).AcceptsNewFlows(clock.Now()))
	apply(t, r, naming(12, 2, "desk", "video"))
	is.Equal(host(r, 7).Address, next.Host.Address)
	is.True(host(r, 7).AcceptsNewFlows(clock.Now()))
	is.Equal(len(r.Catalog().Service("desk")), 0)
}
