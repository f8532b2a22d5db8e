package pimnode

import (
	"cmp"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// topology is the assignment of backend servers to slot owners at one moment; it is immutable once built.
type topology struct {
	// owned are the backend servers of which this VM is the slot owner.
	owned []pimview.Backend
	// local lists the slot owners of working backend servers in this data centre, and failed those of backend servers
	// in this data centre that are reported as failed; remote lists those of the other data centres, working or not.
	// Backend servers that drain are in none of them.
	local, remote, failed map[pimid.ServiceID][]pimpick.Owner
	// services counts the slots and backend servers of each service.
	services map[pimid.ServiceID]serviceCounts
	// generations holds the generation of every backend server; cold holds those that joined or restarted after the
	// first topology.
	generations map[pimid.BackendID]pimid.Generation
	cold        map[pimid.BackendID]bool
}

type serviceCounts struct {
	// slots is the number in all data centres; hosts and failed count backend servers of this data centre.
	slots  pimid.Slots
	hosts  int
	failed int
}

// nodeService is a service of which a VM owns backend servers.
type nodeService struct {
	node    pimid.NodeID
	service pimid.ServiceID
}

func (n *Node) buildTopology(view *pimview.View) *topology {
	t := newTopology(view, n.topology.Load())
	local := map[nodeService]pimid.Slots{}
	remote := map[nodeService]pimid.Slots{}
	failed := map[nodeService]pimid.Slots{}
	for _, b := range view.Backends {
		isLocal, hasFailed := b.DataCentre == n.cfg.Node.DataCentre, n.hasFailed(b)
		t.count(b, isLocal, hasFailed)
		owner := n.members.Owner(b.DataCentre, uint64(b.ID))
		if owner == n.self.Node {
			t.owned = append(t.owned, b)
		}
		if owner == 0 || n.isDraining(b) {
			continue
		}
		key := nodeService{node: owner, service: b.Service}
		switch {
		case isLocal && hasFailed:
			failed[key] += b.Slots
		case isLocal:
			local[key] += b.Slots
		default:
			remote[key] += b.Slots
		}
	}
	slices.SortFunc(t.owned, func(a, b pimview.Backend) int { return cmp.Compare(a.ID, b.ID) })
	t.local, t.remote, t.failed = ownersByService(local), ownersByService(remote), ownersByService(failed)
	return t
}

// newTopology returns a topology with only the generations and cold backend servers set. A backend server that joins or
// restarts while this VM runs is cold; one that this VM finds at its own start has run for an unknown time and is not
// cold.
func newTopology(view *pimview.View, old *topology) *topology {
	t := &topology{
		services:    map[pimid.ServiceID]serviceCounts{},
		generations: make(map[pimid.BackendID]pimid.Generation, len(view.Backends)),
		cold:        map[pimid.BackendID]bool{},
	}
	for id, b := range view.Backends {
		t.generations[id] = b.Generation
		generation, known := old.generations[id]
		isNew := old.generations != nil && (!known || generation != b.Generation)
		if isNew || known && generation == b.Generation && old.cold[id] {
			t.cold[id] = true
		}
	}
	return t
}

// isCold reports whether the backend server joined or restarted while this VM ran. It stays true: pimslot and pimpick
// end the slow start themselves.
func (t *topology) isCold(b pimview.Backend) bool { return t.cold[b.ID] }

func (t *topology) count(b pimview.Backend, isLocal, hasFailed bool) {
	c := t.services[b.Service]
	c.slots += b.Slots
	if isLocal {
		c.hosts++
	}
	if isLocal && hasFailed {
		c.failed++
	}
	t.services[b.Service] = c
}

func ownersByService(slots map[nodeService]pimid.Slots) map[pimid.ServiceID][]pimpick.Owner {
	out := make(map[pimid.ServiceID][]pimpick.Owner, len(slots))
	for key, s := range slots {
		out[key.service] = append(out[key.service], pimpick.Owner{Node: key.node, Slots: s})
	}
	for _, owners := range out {
		slices.SortFunc(owners, func(a, b pimpick.Owner) int { return cmp.Compare(a.Node, b.Node) })
	}
	return out
}

// candidates returns the slot owners of a service. Owners in other data centres are used only if this one has no
// working backend server left, and owners of local backend servers that seem to have failed only if there are no
// others.
func (t *topology) candidates(service pimid.ServiceID) []pimpick.Owner {
	for _, owners := range []map[pimid.ServiceID][]pimpick.Owner{t.local, t.remote, t.failed} {
		if len(owners[service]) > 0 {
			return owners[service]
		}
	}
	return nil
}

func (n *Node) hasFailed(b pimview.Backend) bool {
	s, ok := n.members.BackendStatus(b.ID)
	return ok && s.Generation == b.Generation && s.Failed
}
