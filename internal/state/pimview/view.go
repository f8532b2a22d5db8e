package pimview

import (
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Service is one published service.
type Service = pimcontract.Service

// Backend is one backend server.
type Backend = pimcontract.Backend

// BackendState is the published state of a backend server.
type BackendState = pimcontract.State

// The published states of a backend server.
const (
	// BackendLive receives new work.
	BackendLive = pimcontract.StateLive
	// BackendLeaving keeps established flows and receives no new work.
	BackendLeaving = pimcontract.StateLeaving
)

// Node is one VM on the platform's list.
type Node = pimcontract.Node

// NodeState is the published state of a VM.
type NodeState = pimcontract.State

// The published states of a VM.
const (
	// NodeLive is in service.
	NodeLive = pimcontract.StateLive
	// NodeLeaving is being stopped by the platform.
	NodeLeaving = pimcontract.StateLeaving
)

// Key is a published token key; Secret holds 16 bytes.
type Key struct {
	ID     uint8  `json:"id"`
	Secret []byte `json:"secret"`
	// PublishedAt is when the key was published; new tokens are sealed with it from 15 s later on
	// (pimtoken.KeyDelay), when every VM has it.
	PublishedAt time.Time `json:"published_at"`
	// RetiredAt is when the key was withdrawn from sealing new tokens; the zero time means that it was not.
	RetiredAt time.Time `json:"retired_at,omitzero"`
}

// View is the published configuration at one revision; it is immutable.
type View struct {
	Revision  pimid.Revision
	Services  map[pimid.ServiceID]Service
	Backends  map[pimid.BackendID]Backend
	Contracts map[pimid.ContractID]pimcontract.Contract
	Nodes     map[pimid.NodeID]Node
	Keys      []Key
}
