package pimgossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// The limits of an Outbox.
const (
	// outboxTTL is how long an encoded delta is kept after the last pull of its chunks.
	outboxTTL = 3 * time.Second
	// outboxReuse is how long a delta answers further pulls of the same changes. The times in a delta count from its
	// encoding, so it must not get old.
	outboxReuse = 250 * time.Millisecond
	// outboxSize is the largest number of deltas that are kept.
	outboxSize = 8
)

// EncodedDelta is the encoding of the changes between two revisions, compressed if Deflated is set.
type EncodedDelta struct {
	From, To pimid.Revision
	Data     []byte
	Deflated bool
	// Urgent is set if they are only those of backend servers.
	Urgent bool
}

// Outbox holds the deltas that other VMs are pulling, so that all chunks of a delta come from the same encoding and the
// same changes are not encoded for each VM; it is not safe for concurrent use.
type Outbox struct {
	deltas []*outgoingDelta
}

// outgoingDelta is an encoded delta of which other VMs pull the chunks.
type outgoingDelta struct {
	EncodedDelta
	sum               uint64
	since, base       pimid.Revision
	urgent            pimid.Revision
	config            pimcatalog.Version
	inflates          bool
	encodedAt, usedAt pimclock.Instant
}

// Answer returns the chunks that a pull requests. It calls encode for the delta unless it holds the one whose chunks are
// requested, or the same changes were encoded shortly before.
func (o *Outbox) Answer(
	now pimclock.Instant, p *pimmesh.Pull, encode func() (EncodedDelta, error),
) (chunks []pimmesh.Chunk, err error) {
	o.expire(now)
	if d := o.find(func(d *outgoingDelta) bool { return p.Sum != 0 && d.sum == p.Sum }); d != nil {
		d.usedAt = now
		return d.chosen(p.Chunks), nil
	}
	isSame := func(d *outgoingDelta) bool {
		return d.since == p.Since && d.base == p.Base && d.config == p.Config && d.urgent == p.Urgent &&
			d.inflates == p.Inflates && now.Sub(d.encodedAt) < outboxReuse
	}
	d := o.find(isSame)
	if d == nil {
		d = &outgoingDelta{
			since: p.Since, base: p.Base, config: p.Config, urgent: p.Urgent, inflates: p.Inflates, encodedAt: now,
		}
		if d.EncodedDelta, err = encode(); err != nil {
			return nil, err
		}
		d.sum = max(1, xxhash.Sum64(d.Data))
		o.deltas = append(o.deltas, d)
	}
	d.usedAt = now
	return d.first(p.Count), nil
}

func (o *Outbox) find(matches func(*outgoingDelta) bool) *outgoingDelta {
	for _, d := range o.deltas {
		if matches(d) {
			return d
		}
	}
	return nil
}

// expire removes the deltas that no VM pulls any more, and the oldest ones beyond outboxSize-1.
func (o *Outbox) expire(now pimclock.Instant) {
	kept := o.deltas[:0]
	for i, d := range o.deltas {
		if now.Sub(d.usedAt) <= outboxTTL && len(o.deltas)-i < outboxSize {
			kept = append(kept, d)
		}
	}
	clear(o.deltas[len(kept):])
	o.deltas = kept
}

// count returns the number of chunks.
func (d *outgoingDelta) count() int {
	return max(1, (len(d.Data)+pimmesh.MaxChunk-1)/pimmesh.MaxChunk)
}

// first returns the first n chunks; n = 0 means all.
func (d *outgoingDelta) first(n int) (chunks []pimmesh.Chunk) {
	if n <= 0 {
		n = d.count()
	}
	for i := range min(n, d.count()) {
		chunks = append(chunks, d.chunk(i))
	}
	return chunks
}

// chosen returns the chunks with the given indexes, without those that do not exist.
func (d *outgoingDelta) chosen(indexes []int) (chunks []pimmesh.Chunk) {
	for _, i := range indexes[:min(len(indexes), chunkWindow)] {
		if i >= 0 && i < d.count() {
			chunks = append(chunks, d.chunk(i))
		}
	}
	return chunks
}

func (d *outgoingDelta) chunk(i int) pimmesh.Chunk {
	part := d.Data[i*pimmesh.MaxChunk : min(len(d.Data), (i+1)*pimmesh.MaxChunk)]
	return pimmesh.Chunk{
		From: d.From, To: d.To, Index: i, Count: d.count(), Data: part, Sum: d.sum, Deflated: d.Deflated, Urgent: d.Urgent,
	}
}
