package pimnode

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimonce"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// flowRetryAfter is the time after which a caller may retry if its flow exceeds the flow limit; flows are refreshed
// every 30 s.
const flowRetryAfter = 5 * time.Second

// placer selects backend servers for new flows.
type placer struct{ n *Node }

// Place implements pimroute.Placer.
func (p placer) Place(now pimclock.Instant, service pimid.ServiceID) (pimid.BackendID, bool) {
	id, _, err := p.n.hosts.Pick(now, service, p.n.rng)
	return id, err == nil
}

// admitter applies the flow limits and accounts for opened flows.
type admitter struct{ n *Node }

// AdmitFlow implements pimroute.Admitter.
func (a admitter) AdmitFlow(now pimclock.Instant, contract pimid.ContractID) (bool, time.Duration) {
	account := a.n.ledger.Account(contract)
	if !a.n.quota.OpenFlow(now, contract) {
		account.Refuse(pimledger.Reason(pimedge.ReasonFlowLimit))
		return false, flowRetryAfter
	}
	account.Admit().Answered()
	return true, 0
}

// RefreshFlow implements pimroute.Admitter.
func (a admitter) RefreshFlow(now pimclock.Instant, contract pimid.ContractID) {
	a.n.quota.RefreshFlow(now, contract)
}

// memberView answers routing questions from the membership.
type memberView struct{ n *Node }

// HomeStatus implements pimroute.Members.
func (v memberView) HomeStatus(home pimroute.Home) (pimroute.HomeStatus, pimroute.Home) {
	// The records of a stopped VM may arrive before its announcement that this VM is the successor.
	if home != v.n.self && !v.n.stop.draining() && v.n.home.Accepts(pimonce.HomeID(home)) {
		return pimroute.HomeLeft, v.n.self
	}
	if node, inc, ok := v.n.members.SuccessorOf(home.Node, home.Incarnation); ok {
		return pimroute.HomeLeft, pimroute.Home{Node: node, Incarnation: inc}
	}
	m, ok := v.n.members.Member(home.Node)
	switch {
	case !ok:
		return v.unknownHomeStatus(home, v.n.cfg.Node.DataCentre)
	case m.Incarnation > home.Incarnation:
		return v.unknownHomeStatus(home, m.DataCentre)
	case m.State == pimmember.Dead || m.State == pimmember.Left:
		return pimroute.HomeLost, pimroute.Home{}
	case m.Incarnation == 0 && m.DataCentre == v.n.cfg.Node.DataCentre:
		return v.unknownHomeStatus(home, m.DataCentre)
	default:
		// Updates from other data centres arrive late, so the request is also relayed to an incarnation that is newer
		// than the known one.
		return pimroute.HomeLive, pimroute.Home{}
	}
}

// unknownHomeStatus returns the status of an incarnation that this VM does not know, or of whose VM it knows only a
// later one. It may have stopped as planned before this VM started, so while its tokens may still permit requests, the
// oldest peer, which may know the successor, is returned as successor. Only the VM that holds the records runs a
// request, so a relay to another VM does no harm.
func (v memberView) unknownHomeStatus(home pimroute.Home, dataCentre pimid.DataCentre) (pimroute.HomeStatus, pimroute.Home) {
	if v.n.uptime() > pimtoken.PermitLifetime {
		return pimroute.HomeLost, pimroute.Home{}
	}
	peer, ok := v.oldestPeer(v.n.reachable(dataCentre), home)
	if !ok {
		return pimroute.HomeLost, pimroute.Home{}
	}
	return pimroute.HomeLeft, peer
}

// oldestPeer returns the other VM that has run for the longest time, since it knows most of the earlier stops. An
// incarnation begins with the start time, so the lowest one is the oldest. A later incarnation of the home VM counts
// too, since it may hold the records.
func (v memberView) oldestPeer(ids []pimid.NodeID, home pimroute.Home) (oldest pimroute.Home, ok bool) {
	for _, id := range ids {
		m, known := v.n.members.Member(id)
		peer := pimroute.Home{Node: id, Incarnation: m.Incarnation}
		if !known || m.Incarnation == 0 || id == v.n.self.Node || peer == home {
			continue
		}
		if !ok || peer.Incarnation < oldest.Incarnation {
			oldest, ok = peer, true
		}
	}
	return oldest, ok
}

// NewerPeer implements pimroute.Members.
func (v memberView) NewerPeer(revision pimid.Revision) (pimid.NodeID, bool) {
	ids := v.n.members.Ahead(revision)
	if len(ids) == 0 {
		return 0, false
	}
	return ids[v.n.rng.IntN(len(ids))], true
}

// hostView reports which generations of backend servers have ended.
type hostView struct{ n *Node }

// Gone implements pimroute.Hosts: a generation has ended if the owner of the backend server has announced a later one.
func (v hostView) Gone(backend pimid.BackendID, generation pimid.Generation) bool {
	s, ok := v.n.members.BackendStatus(backend)
	return ok && int16(s.Generation-generation) > 0
}

// isReader reports whether this VM watches the platform; a VM without a configuration reads it in any case.
func (n *Node) isReader() bool {
	return n.store.Revision() == 0 || pimconfig.IsReader(n.members, n.cfg.Node.DataCentre, n.self.Node)
}

// poolOwner returns the VM that pools the quota shares of a contract.
func (n *Node) poolOwner(contract pimid.ContractID) pimid.NodeID {
	// The offset keeps the rendezvous keys of contracts apart from those of backend servers, so that a contract and a
	// backend server with the same number may have different owners.
	const contractKeys = uint64(1) << 40
	return n.members.Owner(n.cfg.Node.DataCentre, contractKeys|uint64(contract))
}
