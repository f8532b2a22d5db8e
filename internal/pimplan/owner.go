package pimplan

import (
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// OwnerFunc chooses the slot owner of a backend server among the live VMs of its data centre; zero means none.
type OwnerFunc func(backend pimid.BackendID, live []pimid.NodeID) pimid.NodeID

// Rendezvous is the OwnerFunc that running VMs use: rendezvous hashing.
func Rendezvous(backend pimid.BackendID, live []pimid.NodeID) pimid.NodeID {
	return pimmember.OwnerAmong(live, uint64(backend))
}
