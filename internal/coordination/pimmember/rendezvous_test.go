package pimmember

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func ids(n int) (out []pimid.NodeID) {
	for i := 1; i <= n; i++ {
		out = append(out, pimid.NodeID(i))
	}
	return out
}

// Guards against cached owners that differ from a fresh computation after VMs join and leave.
func TestCachedOwnersMatchFreshOnes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	r := newRendezvous(ids(50), nil)
	for range 30 {
		for key := range uint64(500) {
			is.Equal(r.owner(key), best(r.nodes[1:], key, r.nodes[0]))
			is.Equal(r.top(key, 3)[0], r.owner(key))
		}
		var next []pimid.NodeID
		for _, id := range ids(60) {
			if rng.IntN(30) > 0 {
				next = append(next, id)
			}
		}
		r = newRendezvous(next, r)
	}
}

// Guards against keys that move although their owner stays, and against an uneven distribution of keys.
func TestRendezvousMovesOnlyKeysOfLeavingVM(t *testing.T) {
	is := is.New(t)
	const nodes, keys = 40, 40_000
	before, after := newRendezvous(ids(nodes), nil), newRendezvous(ids(nodes)[1:], nil)
	count := map[pimid.NodeID]int{}
	for key := range uint64(keys) {
		owner := before.owner(key)
		count[owner]++
		if owner != 1 {
			is.Equal(after.owner(key), owner)
		}
	}
	for _, n := range count {
		is.True(n > keys/nodes*8/10 && n < keys/nodes*12/10)
	}
}

// Guards against rankings with too many, repeated or unordered VMs.
func TestTopRanksEachVMOnce(t *testing.T) {
	is := is.New(t)
	r := newRendezvous(ids(10), nil)
	for _, n := range []int{0, 1, 2, 10, 20} {
		top := r.top(7, n)
		is.Equal(len(top), min(n, 10))
		for i := 1; i < len(top); i++ {
			is.True(score(top[i-1], 7) > score(top[i], 7))
		}
	}
	is.Equal(newRendezvous(nil, nil).owner(1), pimid.NodeID(0))
}

// Measures a cached lookup and the lookups of all keys after one VM has left, with and without carried-over owners.
func BenchmarkOwner(b *testing.B) {
	const keys = 42_000
	for _, n := range []int{64, 380, 1024} {
		warm := newRendezvous(ids(n), nil)
		for key := range uint64(keys) {
			warm.owner(key)
		}
		b.Run(fmt.Sprintf("cached/%d", n), func(b *testing.B) {
			for i := range b.N {
				warm.owner(uint64(i % keys))
			}
		})
		b.Run(fmt.Sprintf("leave-carried/%d", n), func(b *testing.B) {
			for range b.N {
				lookupAll(newRendezvous(ids(n)[1:], warm), keys)
			}
		})
		b.Run(fmt.Sprintf("leave-fresh/%d", n), func(b *testing.B) {
			for range b.N {
				lookupAll(newRendezvous(ids(n)[1:], nil), keys)
			}
		})
	}
}

func lookupAll(r *rendezvous, keys uint64) {
	for key := range keys {
		r.owner(key)
	}
}
