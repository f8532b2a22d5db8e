package pimtoken

import "testing"

func BenchmarkSeal(b *testing.B) {
	ring, tok := mustRing(b, Key{ID: 1, Secret: secret(1)}), sample()
	var raw [Size]byte
	b.ReportAllocs()
	for b.Loop() {
		_ = ring.Seal(start.Unix(), &tok, &raw)
	}
}

func BenchmarkOpen(b *testing.B) {
	ring, tok := mustRing(b, Key{ID: 1, Secret: secret(1)}), sample()
	var raw [Size]byte
	_ = ring.Seal(start.Unix(), &tok, &raw)
	b.ReportAllocs()
	for b.Loop() {
		_ = ring.Open(start.Unix(), raw[:], &tok)
	}
}
