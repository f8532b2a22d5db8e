package pimnode

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimquota"
	"github.com/pimentoyard/pimentoyard/internal/state/pimledger"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimudp"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

type edgeCounters = pimudp.Counters

// Status is the state of a VM and its view of the other VMs, its backend servers and the contracts.
type Status struct {
	VM          pimid.NodeID      `json:"vm"`
	Incarnation string            `json:"incarnation"`
	DataCentre  pimid.DataCentre  `json:"data_centre"`
	UptimeS     float64           `json:"uptime_s"`
	State       string            `json:"state"`
	Revision    pimid.Revision    `json:"revision"`
	IsReader    bool              `json:"is_reader"`
	BadValues   map[string]string `json:"bad_values,omitempty"`
	Members     []MemberStatus    `json:"members"`
	Owned       []OwnedStatus     `json:"owned_backends"`
	Contracts   []ContractStatus  `json:"contracts"`
	// Quota states for each contract which part of its hard limit this VM may use, and why.
	Quota []pimquota.ContractStatus `json:"quota"`
}

// MemberStatus is what a VM knows about one VM of the fleet.
type MemberStatus struct {
	VM          pimid.NodeID     `json:"vm"`
	DataCentre  pimid.DataCentre `json:"data_centre"`
	State       string           `json:"state"`
	Incarnation string           `json:"incarnation"`
	Revision    pimid.Revision   `json:"revision"`
	IsListed    bool             `json:"is_listed"`
	Successor   pimid.NodeID     `json:"successor,omitempty"`
}

// OwnedStatus is a backend server whose slots this VM schedules.
type OwnedStatus struct {
	Backend    pimid.BackendID  `json:"backend"`
	Generation pimid.Generation `json:"generation"`
	Service    pimid.ServiceID  `json:"service"`
	Slots      pimid.Slots      `json:"slots"`
	IsDraining bool             `json:"is_draining"`
	HasFailed  bool             `json:"has_failed"`
	InFlight   int              `json:"reported_in_flight"`
}

// ContractStatus holds the account of a contract on this VM and the VM that owns the pool of the contract.
type ContractStatus struct {
	Contract  pimid.ContractID `json:"contract"`
	Customer  pimid.Customer   `json:"customer"`
	Service   pimid.ServiceID  `json:"service"`
	PoolOwner pimid.NodeID     `json:"pool_owner"`
	Account   pimledger.Totals `json:"account"`
}

// Status returns the current status of this VM.
func (n *Node) Status() Status {
	return Status{
		VM: n.self.Node, Incarnation: n.self.Incarnation.String(), DataCentre: n.cfg.Node.DataCentre,
		UptimeS: n.uptime().Seconds(), State: n.state(), Revision: n.store.Revision(),
		IsReader:  pimconfig.IsReader(n.members, n.cfg.Node.DataCentre, n.self.Node),
		BadValues: n.badValues(), Members: n.memberStatus(), Owned: n.ownedStatus(), Contracts: n.contractStatus(),
		Quota: n.quota.Status(n.clock.Now()),
	}
}

func (n *Node) state() string {
	switch {
	case n.stop.leaving():
		return "leaving"
	case n.edge.Load() == nil:
		return "starting"
	default:
		return "serving"
	}
}

func (n *Node) badValues() map[string]string {
	out := map[string]string{}
	for key, v := range n.store.BadValues() {
		out[key] = v.Err.Error()
	}
	return out
}

func (n *Node) memberStatus() []MemberStatus {
	var out []MemberStatus
	for _, m := range n.members.All() {
		out = append(out, MemberStatus{
			VM: m.ID, DataCentre: m.DataCentre, State: stateName(m.State), Incarnation: m.Incarnation.String(),
			Revision: m.Revision, IsListed: m.Listed, Successor: m.Successor,
		})
	}
	slices.SortFunc(out, func(a, b MemberStatus) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// stateName returns the state in lower case and without the prefix of the generated names, such as "alive".
func stateName(s pimmember.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}

func (n *Node) ownedStatus() []OwnedStatus {
	var out []OwnedStatus
	for _, b := range n.topology.Load().owned {
		out = append(out, OwnedStatus{
			Backend: b.ID, Generation: b.Generation, Service: b.Service, Slots: b.Slots,
			IsDraining: n.isDraining(b), HasFailed: n.hasFailed(b), InFlight: n.polls.inFlight(b.ID),
		})
	}
	return out
}

func (n *Node) contractStatus() []ContractStatus {
	accounts := n.ledger.Snapshot()
	var out []ContractStatus
	for id, c := range n.store.View().Contracts {
		out = append(out, ContractStatus{
			Contract: id, Customer: c.Customer, Service: c.Service, PoolOwner: n.poolOwner(id), Account: accounts[id],
		})
	}
	slices.SortFunc(out, func(a, b ContractStatus) int { return cmp.Compare(a.Contract, b.Contract) })
	return out
}
