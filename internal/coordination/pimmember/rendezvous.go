package pimmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxJoined is the number of joined VMs up to which cached owners are carried over; for more, recomputing on demand is
// cheaper than comparing each key with each joined VM.
const maxJoined = 4

// rendezvous assigns keys to the live VMs of one data centre by rendezvous hashing. The node list never changes; owners
// are cached, so that a lookup costs one map access instead of one hash per VM.
type rendezvous struct {
	nodes []pimid.NodeID
	cache ownerCache
	// readers is the ranking for ReaderKey, which every VM looks up regularly.
	readers []pimid.NodeID
}

// newRendezvous returns a table for sorted nodes and carries over the cached owners of prev that are still valid.
func newRendezvous(nodes []pimid.NodeID, prev *rendezvous) *rendezvous {
	r := &rendezvous{nodes: nodes}
	r.readers = r.rank(ReaderKey, Readers)
	if prev == nil {
		return r
	}
	var joined []pimid.NodeID
	for _, id := range nodes {
		if _, ok := slices.BinarySearch(prev.nodes, id); !ok {
			joined = append(joined, id)
		}
	}
	if len(joined) > maxJoined {
		return r
	}
	prev.cache.each(func(key uint64, owner pimid.NodeID) {
		if _, ok := slices.BinarySearch(nodes, owner); ok {
			r.cache.put(key, best(joined, key, owner))
		}
	})
	return r
}

func (r *rendezvous) owner(key uint64) pimid.NodeID {
	if len(r.nodes) == 0 {
		return 0
	}
	if id, ok := r.cache.get(key); ok {
		return id
	}
	id := OwnerAmong(r.nodes, key)
	r.cache.put(key, id)
	return id
}

func (r *rendezvous) top(key uint64, n int) []pimid.NodeID {
	if key == ReaderKey && n == Readers {
		return r.readers
	}
	return r.rank(key, n)
}

// rank returns up to n nodes with the highest scores, the owner first.
func (r *rendezvous) rank(key uint64, n int) []pimid.NodeID {
	type ranked struct {
		id    pimid.NodeID
		score uint64
	}
	list := make([]ranked, 0, n+1)
	for _, id := range r.nodes {
		v := ranked{id: id, score: score(id, key)}
		at := len(list)
		for at > 0 && list[at-1].score < v.score {
			at--
		}
		if at == n {
			continue
		}
		list = slices.Insert(list, at, v)
		list = list[:min(n, len(list))]
	}
	out := make([]pimid.NodeID, len(list))
	for i, v := range list {
		out[i] = v.id
	}
	return out
}

// OwnerAmong returns which of the given VMs owns a key, or 0 if none is given; the result is the same on every VM.
func OwnerAmong(nodes []pimid.NodeID, key uint64) pimid.NodeID {
	if len(nodes) == 0 {
		return 0
	}
	return best(nodes[1:], key, nodes[0])
}

// best returns the node with the highest score among first and nodes; of equal scores the lowest id wins.
func best(nodes []pimid.NodeID, key uint64, first pimid.NodeID) pimid.NodeID {
	top, id := score(first, key), first
	for _, n := range nodes {
		if s := score(n, key); s > top || s == top && n < id {
			top, id = s, n
		}
	}
	return id
}

func score(id pimid.NodeID, key uint64) uint64 {
	var buf [10]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	binary.LittleEndian.PutUint16(buf[8:], uint16(id))
	return xxhash.Sum64(buf[:])
}
