package pimmember

import (
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
)

// limitFactor is the number of transmissions of an update per bit of the number of VMs (about its binary logarithm).
const limitFactor = 3

func sendLimit(n int) int { return limitFactor * max(1, bits.Len(uint(n))) }

// item is a queued update; exactly one of member and backend is set.
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

// queue holds updates ordered by the number of their transmissions, so that new updates go first. A cap of 0 means no
// limit.
type queue struct {
	items []*item
	cap   int
}

func (q *queue) len() int { return len(q.items) }

// add queues an update and drops an older one about the same VM or backend server. An update that starts with a higher
// number of sends has lower priority. A full queue drops the update that was sent most often.
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

// fill adds updates to a message up to room bytes and removes those that were sent limit times from the queue. It
// returns the number of bytes added.
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

// fieldOverhead is the size of the tag and length of a repeated message field in bytes.
const fieldOverhead = 3

func memberItem(u *pimpb.MemberUpdate) *item {
	return &item{member: u, size: proto.Size(u) + fieldOverhead}
}

func backendItem(u *pimpb.BackendUpdate) *item {
	return &item{backend: u, size: proto.Size(u) + fieldOverhead}
}
