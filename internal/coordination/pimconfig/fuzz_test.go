package pimconfig

import (
	"errors"
	"testing"
)

// FuzzDecodeValue guards against a value that crashes the decoder and against a bad value that removes the previous
// one.
func FuzzDecodeValue(f *testing.F) {
	f.Add("services/1", `{"id":1,"name":"matchroom","address":"127.0.0.1:5683"}`)
	f.Add("backends/1", `{"id":1,"generation":2,"service":1,"slots":2,"state":"live"}`)
	f.Add("contracts/1", `{"id":1,"customer":"a","sources":["10.0.0.0/8"],"terms":{"rate_limit":5},"default_timeout":"1s"}`)
	f.Add("keys/1", `{"id":1,"secret":"AAAAAAAAAAAAAAAAAAAAAA==","published_at":"2026-01-01T00:00:00Z"}`)
	f.Fuzz(func(t *testing.T, key, value string) {
		s := NewStore(Settings{})
		if err := s.Apply(batch(0, 1, set(1, "services/1", `{"id":1}`))); err != nil {
			t.Fatal(err)
		}
		if err := s.Apply(batch(1, 2, set(2, key, value))); err != nil && !errors.Is(err, ErrBadKey) {
			t.Fatal(err)
		}
		if _, ok := s.View().Services[1]; !ok {
			t.Fatal("previous value is gone")
		}
	})
}

// FuzzDecodeChunk guards against a chunk that crashes the decoder or decompresses to more than chunkLimit.
func FuzzDecodeChunk(f *testing.F) {
	var c packer
	good, err := c.compress([]byte{0x12, 0x02, 0x08, 0x01})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, p []byte) {
		raw, err := decompress(p)
		if err != nil {
			return
		}
		if len(raw) > chunkLimit {
			t.Fatal("chunk exceeds the limit")
		}
		_, _ = decodeChunk(raw)
	})
}
