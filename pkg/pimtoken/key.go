package pimtoken

import (
	"encoding/binary"
	"time"
)

// KeySize is the length of a key secret in bytes.
const KeySize = 16

// Key is one key with which the VMs of the fleet seal tokens.
type Key struct {
	ID uint8
	// Secret holds KeySize bytes.
	Secret []byte
	// PublishedAt is when the key was published; it may seal from KeyDelay later on, when every VM has it. The zero time
	// means long ago.
	PublishedAt time.Time
	// RetiredAt is when the key was withdrawn from sealing; the zero time means never.
	RetiredAt time.Time
}

// never stands for the unix time of an event that does not happen.
const never = int64(1<<63 - 1)

// ringKey is a key in the form that Seal and Open use.
type ringKey struct {
	k0, k1 uint64
	// All times are unix seconds.
	publishedAt, retiredAt int64
	id                     uint8
}

func newRingKey(k Key) ringKey {
	r := ringKey{
		id:        k.ID,
		k0:        binary.LittleEndian.Uint64(k.Secret),
		k1:        binary.LittleEndian.Uint64(k.Secret[KeySize/2:]),
		retiredAt: never,
	}
	if !k.PublishedAt.IsZero() {
		r.publishedAt = k.PublishedAt.Unix()
	}
	if !k.RetiredAt.IsZero() {
		r.retiredAt = k.RetiredAt.Unix()
	}
	return r
}

// isDistributed reports whether the key was published at least KeyDelay ago, so that every VM has it.
func (k *ringKey) isDistributed(unixNow int64) bool {
	return unixNow-k.publishedAt >= int64(KeyDelay/time.Second)
}

// isRetired reports whether the key was retired at least grace ago.
func (k *ringKey) isRetired(unixNow int64, grace time.Duration) bool {
	return unixNow-int64(grace/time.Second) >= k.retiredAt
}
