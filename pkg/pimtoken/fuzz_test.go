package pimtoken

import "testing"

// Guards against a value that opens but is not exactly what Seal writes, and against a crash on any input.
func FuzzOpen(f *testing.F) {
	ring := mustRing(f, Key{ID: 1, Secret: secret(1)})
	var raw [Size]byte
	tok := sample()
	if err := ring.Seal(start.Unix(), &tok, &raw); err != nil {
		f.Fatal(err)
	}
	f.Add(raw[:])
	f.Fuzz(func(t *testing.T, sealed []byte) {
		var got Token
		if ring.Open(start.Unix(), sealed, &got) != nil {
			return
		}
		var again [Size]byte
		if err := ring.Seal(start.Unix(), &got, &again); err != nil || string(again[:]) != string(sealed) {
			t.Fatalf("%x opens but seals to %x: %v", sealed, again, err)
		}
	})
}
