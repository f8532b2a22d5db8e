package pimnode

import (
	"cmp"
	"slices"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// topology is the assignment of backend servers to slot owners at one moment; it is never changed after it was built.
type topology struct {
	// owned are the backend servers of which this VM is the slot owner.
	owned []pimview.Backend
	// local and remote list the slot owners of working hosts in this and in the other data centres; failed lists those of
	// local hosts that their owners take for failed.
	local, remote, failed map[pimid.ServiceID][]pimpick.Owner
	// services counts the slots and hosts of each service.
	services map[pimid.ServiceID]serviceCounts
	// generations are the generations of all backend servers; cold are those that an earlier topology did not have.
	generations map[pimid.BackendID]pimid.Generation
	cold        map[pimid.BackendID]bool
}

type serviceCounts struct {
	// slots counts all data centres; hosts and failed count this one.
	slots  pimid.Slots
	hosts  int
	failed int
}

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

// newTopology notes the runs of the backend servers. Those that join or restart while this VM runs are cold; what a VM
// finds at its own start has run for an unknown time.
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

// isCold reports whether this VM saw the backend server join or restart; the slow start of each decision ends by itself.
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

// candidates returns the slot owners of a service; other data centres are asked only if this one has no working host
// left, and hosts that seem to have failed only if there is no other.
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
