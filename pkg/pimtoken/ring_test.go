package pimtoken

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func secret(b byte) []byte {
	s := make([]byte, KeySize)
	for i := range s {
		s[i] = b + byte(i)
	}
	return s
}

func mustRing(t testing.TB, keys ...Key) *Ring {
	t.Helper()
	r, err := NewRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func sample() Token {
	return Token{
		Flags: FlagFlow, Service: 0x0102, Contract: 0x0304, Backend: 0x05060708, Generation: 0x090a, Home: 0x0b0c,
		HomeIncarnation: 0x0d0e0f1011121314, Flow: 0x15161718191a, IssuedAt: uint32(start.Unix()),
	}
}

// Guards against a change of the layout, which would break every open flow during an update of the fleet.
func TestLayout(t *testing.T) {
	is := is.New(t)
	var raw [Size]byte
	tok := sample()
	is.NoErr(mustRing(t, Key{ID: 0xfe, Secret: secret(0)}).Seal(start.Unix(), &tok, &raw))
	is.Equal(hex.EncodeToString(raw[:]),
		"fe010102030405060708090a0b0c0d0e0f101112131415161718191a6553f100c91d794a5ea9896c")
}

// Guards against a bad token that is accepted or reported with the wrong error.
func TestOpenFaults(t *testing.T) {
	ring := mustRing(t, Key{ID: 1, Secret: secret(1)}, Key{ID: 2, Secret: secret(2), RetiredAt: start})
	var good [Size]byte
	tok := sample()
	if err := ring.Seal(start.Unix()+60, &tok, &good); err != nil {
		t.Fatal(err)
	}
	flip := func(i int) []byte {
		b := good
		b[i] ^= 1
		return b[:]
	}
	var retired [Size]byte
	if err := mustRing(t, Key{ID: 2, Secret: secret(2)}).Seal(start.Unix(), &tok, &retired); err != nil {
		t.Fatal(err)
	}
	grace := start.Add(KeyGrace).Unix()
	for _, c := range []struct {
		name string
		raw  []byte
		now  int64
		want error
	}{
		{"good", good[:], grace, nil},
		{"empty", nil, grace, ErrSize},
		{"truncated", good[:Size-1], grace, ErrSize},
		{"extended", append(good[:], 0), grace, ErrSize},
		{"unknown key", flip(0)[:Size], grace, ErrUnknownKey},
		{"flag set", flip(offsetFlags), grace, ErrBadMAC},
		{"backend changed", flip(offsetBackend), grace, ErrBadMAC},
		{"mac changed", flip(Size - 1), grace, ErrBadMAC},
		{"retired key within grace", retired[:], grace - 1, nil},
		{"retired key after grace", retired[:], grace, ErrRetiredKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got Token
			if err := ring.Open(c.now, c.raw, &got); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if c.want == nil && got != tok {
				t.Fatalf("got %+v, want %+v", got, tok)
			}
			if c.want != nil && got != (Token{}) {
				t.Fatal("a rejected token was decoded")
			}
		})
	}
}

// Guards against sealing with a key that some VM may not know, and against a gap without any sealing key.
func TestSealingKey(t *testing.T) {
	at := start.Add
	keys := []Key{
		{ID: 1, Secret: secret(1), PublishedAt: at(-time.Hour), RetiredAt: at(0)},
		{ID: 2, Secret: secret(2), PublishedAt: at(0), RetiredAt: at(time.Hour)},
		{ID: 3, Secret: secret(3), PublishedAt: at(time.Hour - 5*time.Second)},
	}
	for _, c := range []struct {
		name  string
		after time.Duration
		want  byte
		err   error
	}{
		{"successor published too recently", 14 * time.Second, 1, nil},
		{"successor published KeyDelay ago", KeyDelay, 2, nil},
		{"newer key too new while the old one is in force", time.Hour - time.Second, 2, nil},
		{"old key retired before the newer one may seal", time.Hour + 9*time.Second, 2, nil},
		{"newest key", time.Hour + 10*time.Second, 3, nil},
		{"before all keys", -2 * time.Hour, 0, ErrNoSealingKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var raw [Size]byte
			tok := sample()
			is.True(errors.Is(mustRing(t, keys...).Seal(at(c.after).Unix(), &tok, &raw), c.err))
			is.Equal(raw[0], c.want)
		})
	}
}

// Guards against a ring that ignores an unusable key and then rejects the tokens of other VMs.
func TestNewRingFaults(t *testing.T) {
	is := is.New(t)
	_, err := NewRing([]Key{{ID: 1, Secret: secret(1)[:15]}})
	is.True(errors.Is(err, ErrKeySize))
	_, err = NewRing([]Key{{ID: 1, Secret: secret(1)}, {ID: 1, Secret: secret(2)}})
	is.True(errors.Is(err, ErrDuplicateKey))
}

// Guards against lifetimes that are off by one second or negative for a token of a VM with a fast clock.
func TestLifetimes(t *testing.T) {
	is := is.New(t)
	tok := sample()
	at := func(d time.Duration) int64 { return start.Add(d).Unix() }
	is.Equal(tok.Age(at(-time.Minute)), time.Duration(0))
	is.NoErr(tok.CheckPermit(at(PermitLifetime - time.Second)))
	is.Equal(tok.CheckPermit(at(PermitLifetime)), ErrPermitExpired)
	is.NoErr(tok.CheckFlow(at(FlowLifetime - time.Second)))
	is.Equal(tok.CheckFlow(at(FlowLifetime)), ErrFlowExpired)
	is.True(!tok.FlowReissueDue(at(FlowReissueAge - time.Second)))
	is.True(tok.FlowReissueDue(at(FlowReissueAge)))
	is.True(tok.PermitReissueDue(at(PermitReissueAge)))
}

// Guards against an allocation for each packet, also for one with a bad token.
func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	ring, tok := mustRing(t, Key{ID: 1, Secret: secret(1)}), sample()
	var raw [Size]byte
	is.Equal(testing.AllocsPerRun(100, func() { _ = ring.Seal(start.Unix(), &tok, &raw) }), 0.0)
	is.Equal(testing.AllocsPerRun(100, func() { _ = ring.Open(start.Unix(), raw[:], &tok) }), 0.0)
	raw[Size-1]++
	is.Equal(testing.AllocsPerRun(100, func() { _ = ring.Open(start.Unix(), raw[:], &tok) }), 0.0)
}

// Guards against a MAC check that random values of the right length and key id pass.
func TestRandomTokensAreRejected(t *testing.T) {
	ring, rng := mustRing(t, Key{ID: 1, Secret: secret(1)}), rand.New(rand.NewChaCha8([32]byte{1}))
	var raw [Size]byte
	var tok Token
	for range 1_000_000 {
		for i := 0; i < Size; i += 8 {
			word := rng.Uint64()
			for j := range 8 {
				raw[i+j] = byte(word >> (8 * j))
			}
		}
		raw[0] = 1
		if ring.Open(start.Unix(), raw[:], &tok) == nil {
			t.Fatalf("accepted %x", raw)
		}
	}
}
