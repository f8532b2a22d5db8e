package pimgossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Split splits an encoded delta into chunks of up to pimmesh.MaxChunk bytes.
func Split(from, to pimid.Revision, data []byte) (chunks []pimmesh.Chunk) {
	sum := xxhash.Sum64(data)
	count := max(1, (len(data)+pimmesh.MaxChunk-1)/pimmesh.MaxChunk)
	for i := range count {
		part := data[i*pimmesh.MaxChunk : min(len(data), (i+1)*pimmesh.MaxChunk)]
		chunks = append(chunks, pimmesh.Chunk{From: from, To: to, Index: i, Count: count, Data: part, Sum: sum})
	}
	return chunks
}

// Assembly reassembles the newest delta from its chunks; it is not safe for concurrent use.
type Assembly struct {
	// OnDiscard is called when the chunks of an incomplete delta are discarded, with the number that had arrived and that
	// of the whole delta; nil means no callback.
	OnDiscard func(arrived, count int)

	to      pimid.Revision
	sum     uint64
	parts   [][]byte
	missing int
}

// maxChunks bounds a delta to about 20 MB.
const maxChunks = 1 << 14

// Add adds a chunk and returns the encoded delta once it is complete and its checksum matches. A chunk of a newer
// delta, or of another encoding of the same one, discards the chunks before it. Malformed chunks are ignored, and so
// are those of an older delta while a newer one is incomplete.
func (a *Assembly) Add(c *pimmesh.Chunk) (data []byte, complete bool) {
	if c.Count <= 0 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return nil, false
	}
	if c.Sum != a.sum || c.Count != len(a.parts) {
		if c.To < a.to && a.missing > 0 {
			return nil, false
		}
		if a.missing > 0 && a.OnDiscard != nil {
			a.OnDiscard(len(a.parts)-a.missing, len(a.parts))
		}
		*a = Assembly{OnDiscard: a.OnDiscard, to: c.To, sum: c.Sum, parts: make([][]byte, c.Count), missing: c.Count}
	}
	if a.parts[c.Index] == nil {
		a.parts[c.Index] = c.Data
		a.missing--
	}
	if a.missing > 0 {
		return nil, false
	}
	for _, part := range a.parts {
		data = append(data, part...)
	}
	sum := a.sum
	*a = Assembly{OnDiscard: a.OnDiscard}
	return data, xxhash.Sum64(data) == sum
}
