package pimtoken

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// Size is the length of a sealed token in bytes; the Echo option of CoAP holds at most 40.
const Size = 40

// Flags are properties of a token.
type Flags uint8

// FlagFlow marks a token under which a flow was admitted.
const FlagFlow Flags = 1

// Token names everything that a VM needs to route a packet.
type Token struct {
	Flags      Flags
	Service    pimid.ServiceID
	Contract   pimid.ContractID
	Backend    pimid.BackendID
	Generation pimid.Generation
	// Home and HomeIncarnation name the VM, and its process run, that accepts the POST requests of the token: the VM that
	// issued it, or its successor if that VM was stopping. If the named VM stops later, its successor accepts them.
	Home            pimid.NodeID
	HomeIncarnation pimid.Incarnation
	// Flow uses only the low 48 bits.
	Flow pimid.FlowID
	// IssuedAt is the time of issue in unix seconds.
	IssuedAt uint32
}
