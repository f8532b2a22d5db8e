package pimcontract

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Service is one service that an operator publishes.
type Service struct {
	ID pimid.ServiceID `toml:"id" json:"id"`
	// Name is the service's name in reports.
	Name string `toml:"name" json:"name"`
	// Address is the UDP address that callers send to.
	Address netip.AddrPort `toml:"address" json:"address"`
	// EdgePort is the port on which VMs serve the service at their own address, for a fabric that rewrites the
	// destination; zero means that VMs listen on the published address.
	EdgePort uint16 `toml:"edge_port" json:"edge_port,omitempty"`
}

// State is the published state of a backend server or a VM.
type State string

// The published states.
const (
	// StateLive receives new work.
	StateLive State = "live"
	// StateLeaving finishes what it has and receives no new work.
	StateLeaving State = "leaving"
)

// Backend is one backend server that an operator publishes.
type Backend struct {
	ID         pimid.BackendID  `toml:"id" json:"id"`
	Generation pimid.Generation `toml:"generation" json:"generation"`
	Service    pimid.ServiceID  `toml:"service" json:"service"`
	DataCentre pimid.DataCentre `toml:"data_centre" json:"data_centre"`
	// FlowAddress receives encapsulated flow packets over UDP.
	FlowAddress netip.AddrPort `toml:"flow_address" json:"flow_address"`
	// HTTPAddress serves requests, health and load.
	HTTPAddress    netip.AddrPort    `toml:"http_address" json:"http_address"`
	Slots          pimid.Slots       `toml:"slots" json:"slots"`
	MaxConnections pimid.Connections `toml:"max_connections" json:"max_connections"`
	// State is StateLive if the file sets none.
	State State `toml:"state" json:"state"`
}

// Node is one VM on the platform's list.
type Node struct {
	ID         pimid.NodeID     `toml:"id" json:"id"`
	DataCentre pimid.DataCentre `toml:"data_centre" json:"data_centre"`
	// PeerAddress serves drpc over TCP and receives gossip over UDP.
	PeerAddress netip.AddrPort `toml:"peer_address" json:"peer_address"`
	// State is StateLive if the file sets none.
	State State `toml:"state" json:"state"`
	// PublishedAt is when the platform last changed this entry; the platform sets it.
	PublishedAt time.Time `toml:"-" json:"published_at,omitzero"`
}

// Publication is everything that an operator publishes: contracts and fleet.
type Publication struct {
	Services  []Service  `toml:"service" json:"services"`
	Backends  []Backend  `toml:"backend" json:"backends"`
	Nodes     []Node     `toml:"node" json:"nodes"`
	Contracts []Contract `toml:"contract" json:"contracts"`
}
