package pimmember

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
)

// limitFactor is the number of transmissions of an update per binary logarithm of the number of VMs.
const limitFactor = 3

func sendLimit(n int) int { return limitFactor * max(1, bits.Len(uint(n))) }

// item is one update that is waiting to be spread; exactly one of member and backend is set.
type item struct {
	member  *pimpb.MemberUpdate
	backend *pimpb.BackendUpdate
	size    int
	sends   int
}

func (it *item) sameSubject(o *item) bool {
	if it.member != nil && o.member != nil {
		return it.member.GetNode() == o.member.GetNode()
	}
	return it.backend != nil && o.backend != nil && it.backend.GetBackend() == o.backend.GetBackend()
}

// queue holds updates in order of their transmissions, so that new updates go first.
type queue struct {
	items []*item
	cap   int
}

func (q *queue) len() int { return len(q.items) }

// add replaces an older update of the same subject. An update with sends above zero has lower precedence.
func (q *queue) add(it *item, sends int) {
	q.items = slices.DeleteFunc(q.items, it.sameSubject)
	if q.cap > 0 && len(q.items) >= q.cap {
		q.items = q.items[:q.cap-1]
	}
	it.sends = sends
	q.insert(it)
}

func (q *queue) insert(it *item) {
	at, _ := slices.BinarySearchFunc(q.items, it.sends, func(o *item, sends int) int { return o.sends - sends })
	q.items = slices.Insert(q.items, at, it)
}

// fill adds updates to a message up to room bytes and drops those that were sent limit times. It returns the bytes
// added.
func (q *queue) fill(g *pimpb.Gossip, room, limit int) (used int) {
	n := 0
	for n < len(q.items) && used+q.items[n].size <= room {
		q.items[n].appendTo(g)
		used += q.items[n].size
		n++
	}
	taken := slices.Clone(q.items[:n])
	q.items = slices.Delete(q.items, 0, n)
	for _, it := range taken {
		if it.sends++; it.sends < limit {
			q.insert(it)
		}
	}
	return used
}

func (it *item) appendTo(g *pimpb.Gossip) {
	if it.member != nil {
		g.Members = append(g.Members, it.member)
		return
	}
	g.Backends = append(g.Backends, it.backend)
}

// fieldOverhead is the tag and length of one repeated message field.
const fieldOverhead = 3

func memberItem(u *pimpb.MemberUpdate) *item {
	return &item{member: u, size: proto.Size(u) + fieldOverhead}
}

func backendItem(u *pimpb.BackendUpdate) *item {
	return &item{backend: u, size: proto.Size(u) + fieldOverhead}
}
