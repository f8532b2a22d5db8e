package pimgossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// chunkWindow is the largest number of requested chunks that have not arrived yet. They take 20 KB, a third of the socket
// queue of a small VM: more of them in one burst would be lost there each time.
const chunkWindow = 16

// maxChunks bounds a delta to about 20 MB.
const maxChunks = 1 << 14

// abandonAfter is the number of pull timeouts without a new chunk after which a transfer is abandoned.
const abandonAfter = 4

// transfer is a delta of which this VM pulls the chunks from another VM, a window at a time. The zero value is none.
type transfer struct {
	from netip.AddrPort
	// urgent is set if the delta holds only the changes of backend servers.
	urgent bool
	to     pimid.Revision
	// sum identifies the delta; it is 0 until the first chunk has arrived.
	sum      uint64
	deflated bool
	parts    [][]byte
	arrived  int
	// pending are the requested chunks that have not arrived, in the order of the requests; lost are those that were
	// overtaken by later ones. next is the first chunk that has not been requested yet.
	pending, lost []int
	next          int
	// progressAt is when the last new chunk arrived, requestedAt when chunks were last requested.
	progressAt, requestedAt pimclock.Instant
}

// newTransfer returns the transfer of the delta that a chunk belongs to; the first window has been requested already.
func newTransfer(now pimclock.Instant, c *pimmesh.Chunk, from netip.AddrPort) transfer {
	t := transfer{from: from, urgent: c.Urgent, to: c.To, sum: c.Sum, deflated: c.Deflated, parts: make([][]byte, c.Count), requestedAt: now}
	t.choose(chunkWindow)
	return t
}

// ReceiveChunk handles a chunk from another VM. It returns the encoded delta once all chunks have arrived, and before that
// the pulls of further chunks.
func (m *Mesh) ReceiveChunk(now pimclock.Instant, c *pimmesh.Chunk, from netip.AddrPort, v View) (data []byte, out []Outgoing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, known := &m.pulls, v.Revision
	if c.Urgent {
		p, known = &m.urgentPulls, v.urgent()
	}
	t := &p.transfer
	if c.Count <= 0 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count || c.To <= known {
		return nil, nil
	}
	if isOther := from != t.from || c.Sum != t.sum || c.Count != len(t.parts); isOther {
		if t.isActive(now, m.cfg.PullTimeout) && t.to > known {
			// The late answer to a pull that was given up.
			return nil, nil
		}
		m.beginTransfer(p, newTransfer(now, c, from))
	}
	t.add(now, c)
	if t.arrived == len(t.parts) {
		data = t.assemble()
		*t = transfer{}
		return data, nil
	}
	if len(t.pending) <= chunkWindow/2 {
		out = t.pull(now, v, chunkWindow/2)
	}
	return nil, out
}

// beginTransfer replaces the present transfer of a kind, and counts it as discarded if some of its chunks have arrived.
func (m *Mesh) beginTransfer(p *pulls, t transfer) {
	if p.transfer.arrived > 0 {
		m.discarded++
	}
	p.transfer = t
}

// DiscardedTransfers returns the number of deltas that were discarded before all their chunks had arrived.
func (m *Mesh) DiscardedTransfers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.discarded
}

// add stores a chunk. Pending chunks that were requested before it count as lost, since datagrams between two VMs rarely
// overtake each other.
func (t *transfer) add(now pimclock.Instant, c *pimmesh.Chunk) {
	if t.parts[c.Index] != nil {
		return
	}
	t.parts[c.Index] = c.Data
	t.arrived++
	t.progressAt = now
	if i := slices.Index(t.pending, c.Index); i >= 0 {
		t.lost = append(t.lost, t.pending[:i]...)
		t.pending = slices.Delete(t.pending, 0, i+1)
	}
}

// assemble returns the encoded delta, or nil if it is damaged.
func (t *transfer) assemble() (data []byte) {
	for _, part := range t.parts {
		data = append(data, part...)
	}
	if max(1, xxhash.Sum64(data)) != t.sum {
		return nil
	}
	if !t.deflated {
		return data
	}
	data, err := pimmesh.Inflate(data)
	if err != nil {
		return nil
	}
	return data
}

// choose returns up to n missing chunks, the lost ones first, and counts them as pending.
func (t *transfer) choose(n int) (indexes []int) {
	isMissing := func(i int) bool { return t.parts[i] == nil }
	for len(indexes) < n && len(t.lost) > 0 {
		if isMissing(t.lost[0]) {
			indexes = append(indexes, t.lost[0])
		}
		t.lost = t.lost[1:]
	}
	for ; len(indexes) < n && t.next < len(t.parts); t.next++ {
		if isMissing(t.next) {
			indexes = append(indexes, t.next)
		}
	}
	t.pending = append(t.pending, indexes...)
	return indexes
}

// pull returns the pull of up to n missing chunks, or nothing if all are pending. If the other VM no longer has the delta,
// it answers with the changes since the present view.
func (t *transfer) pull(now pimclock.Instant, v View, n int) []Outgoing {
	indexes := t.choose(n)
	if len(indexes) == 0 {
		return nil
	}
	t.requestedAt = now
	out := pull(t.from, v)
	if t.urgent {
		out = pullUrgent(t.from, v)
	}
	out.Message.Pull.Sum, out.Message.Pull.Chunks = t.sum, indexes
	return []Outgoing{out}
}

// isActive reports whether a transfer is under way whose chunks keep arriving.
func (t *transfer) isActive(now pimclock.Instant, pullTimeout time.Duration) bool {
	return t.sum != 0 && now.Sub(t.progressAt) < abandonAfter*pullTimeout
}

// isLarge reports whether a transfer is under way that takes more than one window.
func (t *transfer) isLarge(now pimclock.Instant, pullTimeout time.Duration) bool {
	return len(t.parts) > chunkWindow && t.isActive(now, pullTimeout)
}

// retryTransfers requests the pending chunks of each transfer again if none has arrived for a while.
func (m *Mesh) retryTransfers(now pimclock.Instant, v View) []Outgoing {
	out := m.urgentPulls.transfer.retry(now, v, m.cfg.PullTimeout)
	return append(out, m.pulls.transfer.retry(now, v, m.cfg.PullTimeout)...)
}

// retry requests the pending chunks again if none has arrived for a while.
func (t *transfer) retry(now pimclock.Instant, v View, pullTimeout time.Duration) []Outgoing {
	isStalled := now.Sub(max(t.progressAt, t.requestedAt)) >= pullTimeout
	if !isStalled || !t.isActive(now, pullTimeout) {
		return nil
	}
	t.lost, t.pending = append(t.pending, t.lost...), nil
	return t.pull(now, v, chunkWindow)
}
