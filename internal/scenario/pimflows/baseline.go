package pimflows

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maglevSize is the number of entries of the Maglev lookup table of one service: a prime, with well above 100 entries
// per backend server.
const maglevSize = 4099

// baselines is the state of one flow under the designs that the system does not use: rendezvous hashing, a Maglev
// table, and a VM that keeps the state of the flow (the holder VM of docs/design.md, D1). Each hashing design chooses a
// backend server of its own for the flow.
type baselines struct {
	rendezvous, maglev assignment
	// stateVM is the VM that the first packet of the flow reached and that keeps its state.
	stateVM       *vm
	statefulBroke bool
}

// assignment is the backend server of one flow under one hashing baseline, and whether the flow broke.
type assignment struct {
	backend pimid.BackendID
	broke   bool
}

// observe routes one packet of a flow at a VM under each baseline. A flow breaks if the packet would reach another
// backend server than the packet before it, or if the VM that keeps the state of the flow is dead. Each baseline counts
// a flow at most once.
func (b *baselines) observe(m *vm, f *flow, r *Report) {
	r.Rendezvous += b.rendezvous.assign(rendezvousPick(m.live[f.service], f.id))
	r.Maglev += b.maglev.assign(m.maglev[f.service][hash(f.id, 0)%maglevSize])
	if b.stateVM == nil {
		b.stateVM = m
	}
	if b.stateVM.dead && !b.statefulBroke {
		b.statefulBroke = true
		r.Stateful++
	}
}

// assign sets the backend server of a flow and returns 1 if this breaks the flow for the first time.
func (a *assignment) assign(next pimid.BackendID) int {
	was := a.backend
	a.backend = next
	if was == 0 || was == next || a.broke {
		return 0
	}
	a.broke = true
	return 1
}

func hash(a, b uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], a)
	binary.LittleEndian.PutUint64(raw[8:], b)
	return xxhash.Sum64(raw[:])
}

// rendezvousPick returns the backend server with the highest hash for a flow.
func rendezvousPick(live []pimview.Backend, flow uint64) pimid.BackendID {
	var best pimid.BackendID
	var top uint64
	for _, b := range live {
		if h := hash(flow, uint64(b.ID)); h >= top {
			best, top = b.ID, h
		}
	}
	return best
}

// maglevTable returns the Maglev lookup table of a service: the backend servers take turns, and each takes the next
// free entry of its own permutation.
func maglevTable(live []pimview.Backend) []pimid.BackendID {
	table := make([]pimid.BackendID, maglevSize)
	if len(live) == 0 {
		return table
	}
	position := make([]uint64, len(live))
	for filled := 0; ; {
		for i, b := range live {
			offset, skip := hash(uint64(b.ID), 1)%maglevSize, hash(uint64(b.ID), 2)%(maglevSize-1)+1
			entry := (offset + position[i]*skip) % maglevSize
			for table[entry] != 0 {
				position[i]++
				entry = (offset + position[i]*skip) % maglevSize
			}
			table[entry] = b.ID
			if filled++; filled == maglevSize {
				return table
			}
		}
	}
}
