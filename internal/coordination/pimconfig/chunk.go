package pimconfig

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// chunkLimit is the largest size of a decompressed chunk in bytes; a value has at most 1 MB, and several large values
// may share a chunk.
const chunkLimit = 16 << 20

// bucket holds the keys and values of one snapshot chunk, encoded and compressed as they are sent. They are only needed
// to answer pulls and to compare states, and compressed they take a fraction of the memory.
type bucket struct {
	packed []byte
	// hash is the hash of the encoded keys and values before compression.
	hash [HashSize]byte
}

func (b *bucket) empty() bool { return len(b.packed) == 0 }

// entries decodes the bucket into its events by key.
func (b *bucket) entries() (map[string]Event, error) {
	if b.empty() {
		return map[string]Event{}, nil
	}
	events, err := unpack(b.packed)
	if err != nil {
		return nil, err
	}
	entries := make(map[string]Event, len(events))
	for _, e := range events {
		entries[e.Key] = e
	}
	return entries, nil
}

// packer encodes buckets; it keeps one flate writer, since a writer allocates more than 1 MB.
type packer struct {
	w *flate.Writer
}

// pack encodes the entries of a bucket in order of key, so that equal entries have equal hashes.
func (c *packer) pack(entries map[string]Event) (b bucket, err error) {
	if len(entries) == 0 {
		return b, nil
	}
	list := make([]Event, 0, len(entries))
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[key])
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pimpb.PullConfigReply{Events: toProto(list)})
	if err != nil {
		return b, err
	}
	b.hash = contentHash(raw)
	b.packed, err = c.compress(raw)
	return b, err
}

func (c *packer) compress(p []byte) (out []byte, err error) {
	var buf bytes.Buffer
	if c.w == nil {
		if c.w, err = flate.NewWriter(&buf, flate.DefaultCompression); err != nil {
			return nil, err
		}
	} else {
		c.w.Reset(&buf)
	}
	if _, err = c.w.Write(p); err != nil {
		return nil, err
	}
	if err = c.w.Close(); err != nil {
		return nil, err
	}
	return slices.Clone(buf.Bytes()), nil
}

// decompress returns ErrBadChunk if the data is damaged or exceeds chunkLimit.
func decompress(p []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(p))
	out, err := io.ReadAll(io.LimitReader(r, chunkLimit+1))
	if err != nil || len(out) > chunkLimit {
		return nil, ErrBadChunk
	}
	return out, nil
}

func unpack(p []byte) ([]Event, error) {
	raw, err := decompress(p)
	if err != nil {
		return nil, err
	}
	return decodeChunk(raw)
}

func decodeChunk(p []byte) (events []Event, err error) {
	var list pimpb.PullConfigReply
	if err = proto.Unmarshal(p, &list); err != nil {
		return nil, ErrBadChunk
	}
	return fromProto(list.GetEvents()), nil
}

func fromProto(in []*pimpb.ConfigEvent) []Event {
	out := make([]Event, 0, len(in))
	for _, e := range in {
		out = append(out, Event{
			Revision: pimid.Revision(e.GetRevision()), Key: e.GetKey(), Value: e.GetValue(), Deleted: e.GetDeleted(),
		})
	}
	return out
}

func toProto(in []Event) []*pimpb.ConfigEvent {
	out := make([]*pimpb.ConfigEvent, 0, len(in))
	for _, e := range in {
		out = append(out, &pimpb.ConfigEvent{
			Revision: uint64(e.Revision), Key: e.Key, Value: e.Value, Deleted: e.Deleted,
		})
	}
	return out
}
