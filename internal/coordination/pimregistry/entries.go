package pimregistry

import (
	"cmp"
	"iter"

	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// entryKey identifies an entry of the platform.
type entryKey struct {
	id   pimcatalog.HostID
	name string
}

// keyOf returns the key of the entry of a backend server.
func keyOf(h *pimcatalog.Host) entryKey { return entryKey{h.ID, h.Name} }

// entries holds the last known state of each entry, also of those that are not used: which one stands for an id follows from all
// entries with that id and from the configuration in force.
type entries map[pimcatalog.HostID]namesakes

// namesakes are the entries with one id. Most ids have one entry, or a second one, which need no map of their own.
type namesakes struct {
	few  [2]*pimcatalog.Host
	many map[string]*pimcatalog.Host
}

// get returns the state of an entry, or nil.
func (e entries) get(key entryKey) *pimcatalog.Host {
	n := e[key.id]
	for _, h := range n.few {
		if h != nil && h.Name == key.name {
			return h
		}
	}
	return n.many[key.name]
}

// put sets the state of an entry.
func (e entries) put(h *pimcatalog.Host) {
	n, isKnown := e[h.ID], e.get(keyOf(h)) != nil
	for i, present := range n.few {
		if present != nil && present.Name == h.Name || present == nil && !isKnown {
			n.few[i] = h
			e[h.ID] = n
			return
		}
	}
	if n.many == nil {
		n.many = map[string]*pimcatalog.Host{}
	}
	n.many[h.Name] = h
	e[h.ID] = n
}

// remove forgets an entry.
func (e entries) remove(key entryKey) {
	n := e[key.id]
	delete(n.many, key.name)
	for i, h := range n.few {
		if h != nil && h.Name == key.name {
			n.few[i] = nil
		}
	}
	if n.few == [2]*pimcatalog.Host{} && len(n.many) == 0 {
		delete(e, key.id)
		return
	}
	e[key.id] = n
}

// all returns the states of all entries.
func (e entries) all() iter.Seq[*pimcatalog.Host] {
	return func(yield func(*pimcatalog.Host) bool) {
		for _, n := range e {
			for h := range n.all() {
				if !yield(h) {
					return
				}
			}
		}
	}
}

// all returns the states of the entries with one id.
func (n namesakes) all() iter.Seq[*pimcatalog.Host] {
	return func(yield func(*pimcatalog.Host) bool) {
		for _, h := range n.few {
			if h != nil && !yield(h) {
				return
			}
		}
		for _, h := range n.many {
			if !yield(h) {
				return
			}
		}
	}
}

// isShared reports whether several entries have the id.
func (n namesakes) isShared() bool { return n.few[0] != nil && n.few[1] != nil || len(n.many) > 0 }

// owner returns the entry that stands for an id, or nil. It follows from the entries and the configuration alone, not from the order
// in which they were read, so that VMs that know the same agree.
func (r *Registry) owner(now pimclock.Instant, n namesakes) (owner *pimcatalog.Host) {
	for h := range n.all() {
		if h = r.stateInForce(h); owner == nil || r.compareOwners(now, h, owner) < 0 {
			owner = h
		}
	}
	return owner
}

// compareOwners orders two entries with the same id; the lower one stands for the id. Of two that compareClaims does not tell apart, one
// of a backend server that has not ended comes first, then the one that appeared first.
func (r *Registry) compareOwners(now pimclock.Instant, a, b *pimcatalog.Host) int {
	return cmp.Or(
		r.compareClaims(a, b),
		compareBool(a.Gone(now), b.Gone(now)),
		cmp.Compare(a.Created, b.Created),
		cmp.Compare(a.Name, b.Name),
	)
}

// compareClaims orders two reports under the same id; the lower one is that of the backend server. One of another writer lacks a
// published service, also in earlier configurations, or, unlike the other one, a start.
func (r *Registry) compareClaims(a, b *pimcatalog.Host) int {
	return cmp.Or(
		compareBool(r.isPublished(b), r.isPublished(a)),
		compareBool(r.everPublished[b.Service], r.everPublished[a.Service]),
		compareBool(b.StartedAt != 0, a.StartedAt != 0),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// resolve returns the key of the entry that a change belongs to. Without a name, it is the entry that stands for the id.
func (r *Registry) resolve(now pimclock.Instant, c *Change) entryKey {
	key := entryKey{c.ID, c.Name}
	if key.name == "" && c.Host != nil {
		key.name = c.Host.Name
	}
	if key.name != "" {
		return key
	}
	if owner := r.owner(now, r.entries[c.ID]); owner != nil {
		key.name = owner.Name
	}
	return key
}
