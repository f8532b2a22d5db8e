package pimnode

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// flowRetry is the retry time of a caller whose flow exceeds the flow limit; flows are refreshed every 30 s.
const flowRetry = 5 * time.Second

// placer chooses backend servers for new flows.
type placer struct{ n *Node }

// Place implements pimroute.Placer.
func (p placer) Place(now pimclock.Instant, service pimid.ServiceID) (pimid.BackendID, bool) {
	id, _, err := p.n.hosts.Pick(now, service, p.n.rng)
	return id, err == nil
}

// admitter holds the flow limits and accounts for flow opens.
type admitter struct{ n *Node }

// AdmitFlow implements pimroute.Admitter.
func (a admitter) AdmitFlow(now pimclock.Instant, contract pimid.ContractID) (bool, time.Duration) {
	account := a.n.ledger.Account(contract)
	if !a.n.quota.OpenFlow(now, contract) {
		account.Refuse(pimledger.Reason(pimedge.ReasonFlowLimit))
		return false, flowRetry
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

// HomeState implements pimroute.Members.
func (v memberView) HomeState(home pimroute.Home) (pimroute.HomeStatus, pimroute.Home) {
	m, ok := v.n.members.Member(home.Node)
	if !ok || (m.Incarnation != 0 && m.Incarnation != home.Incarnation) {
		return pimroute.HomeLost, pimroute.Home{}
	}
	if m.Successor != 0 {
		return pimroute.HomeLeft, pimroute.Home{Node: m.Successor, Incarnation: m.SuccessorIncarnation}
	}
	if m.State == pimmember.Dead || m.State == pimmember.Left {
		return pimroute.HomeLost, pimroute.Home{}
	}
	// A listed VM that was not heard yet is asked; if it does not answer, the outcome is unknown.
	return pimroute.HomeLive, pimroute.Home{}
}

// NewerPeer implements pimroute.Members.
func (v memberView) NewerPeer(revision pimid.Revision) (pimid.NodeID, bool) {
	ids := v.n.members.Ahead(revision)
	if len(ids) == 0 {
		return 0, false
	}
	return ids[v.n.rng.IntN(len(ids))], true
}

// hostView reports backend servers whose run has ended.
type hostView struct{ n *Node }

// Gone implements pimroute.Hosts: the owner of a backend server announced a later run of it.
func (v hostView) Gone(backend pimid.BackendID, generation pimid.Generation) bool {
	s, ok := v.n.members.BackendStatus(backend)
	return ok && int16(s.Generation-generation) > 0
}

// isReader reports whether this VM watches the platform; a VM without a configuration reads it in any case.
func (n *Node) isReader() bool {
	return n.store.Revision() == 0 || pimconfig.IsReader(n.members, n.cfg.Node.DataCentre, n.self.Node)
}

// poolOwner returns the VM that pools the shares of a contract.
func (n *Node) poolOwner(contract pimid.ContractID) pimid.NodeID {
	// The offset keeps contracts and backend servers with the same number on different owners.
	const contractKeys = uint64(1) << 40
	return n.members.Owner(n.cfg.Node.DataCentre, contractKeys|uint64(contract))
}
