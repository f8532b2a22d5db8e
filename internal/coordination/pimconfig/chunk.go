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

// chunkLimit bounds a decompressed chunk in bytes; a value has at most 1 MB, and some may share a chunk.
const chunkLimit = 16 << 20

// chunk returns the encoded entries of one bucket in order of key.
func (s *Store) chunk(b *bucket) ([]byte, error) {
	list := &pimpb.PullConfigReply{}
	for _, key := range slices.Sorted(maps.Keys(b.keys)) {
		e := s.entries[key]
		list.Events = append(list.Events, &pimpb.ConfigEvent{
			Revision: uint64(e.revision), Key: key, Value: e.value,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(list)
}

// rehash updates the chunk hashes that changed since the last call.
func (s *Store) rehash() error {
	for i := range s.buckets {
		b := &s.buckets[i]
		if !b.dirty {
			continue
		}
		p, err := s.chunk(b)
		if err != nil {
			return err
		}
		b.hash = contentHash(p)
		b.dirty = false
	}
	return nil
}

// compressor keeps one flate writer for all chunks of a reply, since a writer allocates more than 1 MB.
type compressor struct {
	w *flate.Writer
}

func (c *compressor) compress(p []byte) (out []byte, err error) {
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
	return buf.Bytes(), nil
}

func decompress(p []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(p))
	out, err := io.ReadAll(io.LimitReader(r, chunkLimit+1))
	if err != nil || len(out) > chunkLimit {
		return nil, ErrBadChunk
	}
	return out, nil
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
