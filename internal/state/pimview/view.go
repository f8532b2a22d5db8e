package pimview

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Service is one published service.
type Service struct {
	ID pimid.ServiceID `json:"id"`
	// Name is the service's name in reports.
	Name string `json:"name"`
	// Address is the UDP address that callers send to.
	Address netip.AddrPort `json:"address"`
	// EdgePort is the port on which VMs serve the service at their own address, for a fabric that rewrites the
	// destination; zero means that VMs listen on the published address.
	EdgePort uint16 `json:"edge_port,omitempty"`
}

// BackendState is the published state of a backend server.
type BackendState string

// The published states of a backend server.
const (
	// BackendLive receives new work.
	BackendLive BackendState = "live"
	// BackendLeaving keeps established flows and receives no new work.
	BackendLeaving BackendState = "leaving"
)

// Backend is one backend server.
type Backend struct {
	ID         pimid.BackendID  `json:"id"`
	Generation pimid.Generation `json:"generation"`
	Service    pimid.ServiceID  `json:"service"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	// FlowAddress receives encapsulated flow packets over UDP.
	FlowAddress netip.AddrPort `json:"flow_address"`
	// HTTPAddress serves requests, health and load.
	HTTPAddress    netip.AddrPort    `json:"http_address"`
	Slots          pimid.Slots       `json:"slots"`
	MaxConnections pimid.Connections `json:"max_connections"`
	State          BackendState      `json:"state"`
}

// NodeState is the published state of a VM.
type NodeState string

// The published states of a VM.
const (
	// NodeLive takes part in the fleet.
	NodeLive NodeState = "live"
	// NodeLeaving is being stopped by the platform.
	NodeLeaving NodeState = "leaving"
)

// Node is one VM on the platform's list.
type Node struct {
	ID         pimid.NodeID     `json:"id"`
	DataCentre pimid.DataCentre `json:"data_centre"`
	// PeerAddress serves drpc over TCP and receives gossip over UDP.
	PeerAddress netip.AddrPort `json:"peer_address"`
	State       NodeState      `json:"state"`
	// PublishedAt is when the platform last changed this entry.
	PublishedAt time.Time `json:"published_at,omitzero"`
}

// Key is a token key in force; Secret holds 16 bytes.
type Key struct {
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
	// PublishedAt is when the key was published; sealing starts 15 s later.
	PublishedAt time.Time `json:"published_at"`
	// RetiredAt is when the key was withdrawn from sealing; the zero time means never.
	RetiredAt time.Time `json:"retired_at,omitzero"`
}

// View is the system at one revision; it is never changed after it was built.
type View struct {
	Revision  pimid.Revision
	Services  map[pimid.ServiceID]Service
	Backends  map[pimid.BackendID]Backend
	Contracts map[pimid.ContractID]pimcontract.Contract
	Nodes     map[pimid.NodeID]Node
	Keys      []Key
}
