package pimnode

import (
	"slices"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimpick"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// refresh passes the current view and membership to all components.
func (n *Node) refresh() {
	// start and loop may call refresh at the same time; an older view must not replace a newer one.
	n.refreshMu.Lock()
	defer n.refreshMu.Unlock()
	view := n.store.View()
	if view.Revision == 0 {
		return
	}
	now, wall := n.clock.Now(), time.Now()
	if view.Revision != n.applied.revision {
		n.applyView(now, view)
	}
	n.confirmView(now, view)
	n.quota.Publish(now, pimquota.PublicationOf(view, n.self.Node, n.cfg.Node.DataCentre, wall))
	state := appliedState{revision: view.Revision, changes: n.members.Changes(), leaving: n.stop.leaving()}
	if state != n.applied {
		n.topology.Store(n.buildTopology(view))
		n.refreshHosts(view, n.topology.Load())
	}
	n.applied = state
	n.refreshSlots(view, n.topology.Load(), wall)
}

// appliedState identifies the input of the current topology. The topology is rebuilt only when this changes, since
// building it is the costly part of a refresh.
type appliedState struct {
	revision pimid.Revision
	changes  uint64
	leaving  bool
}

// applyView passes a new view to the components that depend only on the view.
func (n *Node) applyView(now pimclock.Instant, view *pimview.View) {
	if err := n.router.Update(n.unixNow(), view); err != nil {
		n.log.Error().Err(err).Uint64("revision", uint64(view.Revision)).Msg("view refused by the router")
	}
	digest := n.store.Digest()
	n.members.SetDigest(digest.Revision, digest.Hash[:])
	n.members.SetPublished(now, uint64(view.Revision), listedNodes(view))
	if edge := n.edge.Load(); edge != nil {
		if err := edge.SetServices(n.edgeServices(view)); err != nil {
			n.log.Error().Err(err).Msg("service address not available")
		}
	}
}

// confirmView tells the router as of when the view was the newest one, if another VM has answered a ping of the last confirmAge and no
// reachable peer has announced a higher revision.
func (n *Node) confirmView(now pimclock.Instant, view *pimview.View) {
	asOf := n.members.AnsweredAsOf()
	if asOf > 0 && now.Sub(asOf) <= confirmAge && len(n.members.Ahead(view.Revision)) == 0 {
		n.router.Confirm(int64(n.unix.Unix(asOf)))
	}
}

func listedNodes(view *pimview.View) []pimview.Node {
	nodes := make([]pimview.Node, 0, len(view.Nodes))
	for _, v := range view.Nodes {
		nodes = append(nodes, v)
	}
	slices.SortFunc(nodes, func(a, b pimview.Node) int { return int(a.ID) - int(b.ID) })
	return nodes
}

// refreshSlots sets the backend servers that this VM owns, none if it is leaving, and the policies of their services.
func (n *Node) refreshSlots(view *pimview.View, t *topology, wall time.Time) {
	owned := t.owned
	if n.stop.leaving() {
		owned = nil
	}
	hosts := make([]pimslot.Host, 0, len(owned))
	for _, b := range owned {
		hosts = append(hosts, pimslot.Host{
			ID: b.ID, Generation: b.Generation, Service: b.Service, Slots: b.Slots,
			Draining: n.isDraining(b), Cold: t.isCold(b), InFlight: n.polls.inFlight(b.ID),
		})
	}
	for _, p := range n.policies(view, t, wall) {
		n.slots.SetPolicy(p)
	}
	n.slots.SetHosts(hosts)
	n.ownership.set(hosts)
}

// policies returns, for every service with a backend server that this VM owns, the numbers of slots and backend
// servers and the contract terms in force at the time wall.
func (n *Node) policies(view *pimview.View, t *topology, wall time.Time) []pimslot.Policy {
	byService := map[pimid.ServiceID]*pimslot.Policy{}
	for _, b := range t.owned {
		if byService[b.Service] == nil {
			counts := t.services[b.Service]
			byService[b.Service] = &pimslot.Policy{
				Service: b.Service, TotalSlots: counts.slots,
				DataCentreHosts: counts.hosts, DataCentreFailed: counts.failed,
			}
		}
	}
	for id, c := range view.Contracts {
		if p := byService[c.Service]; p != nil {
			p.Contracts = append(p.Contracts, pimslot.ContractTerms{ID: id, Terms: c.TermsAt(wall)})
		}
	}
	policies := make([]pimslot.Policy, 0, len(byService))
	for _, p := range byService {
		slices.SortFunc(p.Contracts, func(a, b pimslot.ContractTerms) int { return int(a.ID) - int(b.ID) })
		policies = append(policies, *p)
	}
	return policies
}

// refreshHosts sets the backend servers on which this VM places flows, with the status that their owners announced.
func (n *Node) refreshHosts(view *pimview.View, t *topology) {
	var hosts []pimpick.Host
	for _, b := range view.Backends {
		if b.DataCentre != n.cfg.Node.DataCentre {
			continue
		}
		hosts = append(hosts, pimpick.Host{
			ID: b.ID, Generation: b.Generation, Service: b.Service, MaxConnections: b.MaxConnections,
			Leaving: b.State == pimview.BackendLeaving, Cold: t.isCold(b),
		})
	}
	n.hosts.SetHosts(n.clock.Now(), hosts)
	for _, h := range hosts {
		s, ok := n.members.BackendStatus(h.ID)
		if !ok {
			continue
		}
		n.hosts.SetStatus(h.ID, s.Generation, s.Draining, s.Failed)
	}
}

// isDraining reports whether the platform has announced the removal of a backend server, or its owner has announced
// that it drains.
func (n *Node) isDraining(b pimview.Backend) bool {
	if b.State == pimview.BackendLeaving {
		return true
	}
	s, ok := n.members.BackendStatus(b.ID)
	return ok && s.Generation == b.Generation && s.Draining
}
