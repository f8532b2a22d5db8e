package pimviews

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// entry is one item of the store under its name.
type entry struct {
	name   string
	change pimregistry.Change
}

// store is a model of the platform's store.
type store struct {
	sim      *sim
	revision pimid.Revision
	entries  map[string]entry
	log      []pimregistry.Change
	// compacted is the revision up to which the history is dropped.
	compacted pimid.Revision
	// away is set while no VM can read, refused holds the VMs that are turned away; both get no answer if hangs is set.
	away, hangs bool
	refused     map[*vm]bool
	// disturbedAt is when the last disturbance of the store ended; it is in the future while one lasts.
	disturbedAt pimclock.Instant
	waiting     []func()
	// copies are those of the last seconds, the oldest one first.
	copies []storeCopy
}

// storeCopy is the state of the store at a revision.
type storeCopy struct {
	revision pimid.Revision
	entries  map[string]entry
}

// keptCopies is the number of copies that are kept, one for each copyInterval.
const keptCopies = 6

func (s *store) copy() {
	s.copies = append(s.copies, storeCopy{s.revision, maps.Clone(s.entries)})
	if len(s.copies) > keptCopies {
		s.copies = s.copies[1:]
	}
}

// restore begins an era with the state of a copy, whose revisions are given out again. It has no history.
func (s *store) restore(c storeCopy) {
	era := s.revision.Era() + 1
	inEra := func(r pimid.Revision) pimid.Revision {
		r, err := pimid.NewRevision(era, r.Number())
		s.sim.check(err)
		return r
	}
	s.entries, s.copies, s.log = map[string]entry{}, nil, nil
	for name, e := range c.entries {
		e.change.Revision, e.change.Created = inEra(e.change.Revision), inEra(e.change.Created)
		s.entries[name] = e
	}
	s.revision = inEra(c.revision)
	s.compacted = s.revision
	s.sim.noteEvacuations()
}

// put writes an entry and answers the waiting watches.
func (s *store) put(name string, c pimregistry.Change) {
	s.revision++
	c.Revision, c.Created = s.revision, s.revision
	if before, ok := s.entries[name]; ok {
		c.Created = before.change.Created
	}
	s.entries[name] = entry{name, c}
	s.append(c)
}

func (s *store) remove(name string) {
	e, ok := s.entries[name]
	if !ok {
		return
	}
	s.revision++
	delete(s.entries, name)
	s.append(pimregistry.Change{Revision: s.revision, ID: e.change.ID, Name: e.change.Name, Evacuation: e.change.Evacuation, Removed: true})
}

func (s *store) append(c pimregistry.Change) {
	s.log = append(s.log, c)
	s.sim.noteEvacuations()
	waiting := s.waiting
	s.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// since returns the changes after a revision; ok is false if they are no longer kept.
func (s *store) since(from pimid.Revision) (b pimregistry.Batch, ok bool) {
	if from < s.compacted {
		return b, false
	}
	b = pimregistry.Batch{From: from, To: s.revision}
	i, _ := slices.BinarySearchFunc(s.log, from+1, func(c pimregistry.Change, r pimid.Revision) int {
		return int(c.Revision) - int(r)
	})
	b.Changes = slices.Clone(s.log[i:])
	return b, true
}

// pageSize is the number of entries of a page, which are read at different revisions.
const pageSize = 3

// page returns the entries after a name, in the order of the names; the configuration comes first.
func (s *store) page(after string) (page []entry, more bool) {
	for _, e := range s.entries {
		if e.name > after {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b entry) int { return strings.Compare(a.name, b.name) })
	if len(page) > pageSize {
		return page[:pageSize], true
	}
	return page, false
}

func (s *store) turnsAway(v *vm) bool { return s.away || s.refused[v] }

// disturb makes the bounds void until stableWindow after the end of a disturbance.
func (s *store) disturb(d time.Duration) {
	s.disturbedAt = max(s.disturbedAt, s.sim.Now().Add(d))
}

// configName sorts before the names of all backend servers.
const configName = "!config"

// publish writes a version of the configuration with some routes.
func (s *store) publish(routes map[uint16]pimcatalog.Service, version pimcatalog.Version) {
	cfg := &pimcatalog.Config{Version: version, Services: s.sim.named()}
	for port, service := range routes {
		cfg.Routes = append(cfg.Routes, pimcatalog.Route{
			Name: fmt.Sprint(port), Address: routeAddress(port), Shares: []pimcatalog.Share{{Service: service, Weight: 1}},
		})
	}
	slices.SortFunc(cfg.Routes, func(a, b pimcatalog.Route) int { return a.Address.Compare(b.Address) })
	s.put(configName, pimregistry.Change{Config: cfg})
}
