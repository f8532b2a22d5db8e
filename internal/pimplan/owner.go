package pimplan

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// OwnerFunc chooses the slot owner of a backend server among the live VMs of its data centre; zero means none.
type OwnerFunc func(backend pimid.BackendID, live []pimid.NodeID) pimid.NodeID

// Rendezvous is an OwnerFunc by rendezvous hashing: the VM with the highest hash of both ids owns the slots.
func Rendezvous(backend pimid.BackendID, live []pimid.NodeID) (owner pimid.NodeID) {
	var best uint64
	for _, id := range live {
		var key [6]byte
		binary.BigEndian.PutUint32(key[:], uint32(backend))
		binary.BigEndian.PutUint16(key[4:], uint16(id))
		if h := xxhash.Sum64(key[:]); owner == 0 || h > best {
			owner, best = id, h
		}
	}
	return owner
}
